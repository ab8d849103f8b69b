package e2e

import (
	"fmt"
	"net"
	"strings"
	"testing"

	"flaxrelay/policy"
)

// If a client disconnects, its attempt is cancelled. A late response to the attempt on the same connection is not taken
// for the response to the next request with the same id.
func TestClientDisconnect_CancelsTheAttemptAndDiscardsItsLateResponse(t *testing.T) {
	var first string
	addr, seen := startLineEngine(t, func(line string) string {
		if strings.HasPrefix(line, "never_mind") {
			return doneReply(first, "late\t\t\n")
		}
		if first != "" {
			return doneReply(line, "fresh\t\t\n")
		}
		first = line
		return ""
	})
	front := startHTTP(t, addr)
	client := connectHTTP(t, front.addr)
	client.send(queryRequest("lookup", ""))
	await(t, seen)
	client.close()
	assertEqual(t, "the engine received", await(t, seen), "never_mind "+requestID)
	got, _ := connectHTTP(t, front.addr).roundTrip(queryRequest("lookup", ""))
	assertEqual(t, "the next request with that id", got, `200 {"result":[["fresh","",""]]}`)
	front.assertCount("engine-connections.dialed", 2) // a cancelled id is not used again on its connection
}

// A client disconnects while its attempt waits for a connection to the engine. When the connection is established, the
// engine receives no part of the request, even if the settings do not permit cancellation. The request of another
// client is served.
func TestClientDisconnect_BeforeTheEngineConnectionIsUpSendsNothing(t *testing.T) {
	for _, cancelPermitted := range []bool{true, false} {
		t.Run(fmt.Sprintf("cancelPermitted=%v", cancelPermitted), func(t *testing.T) {
			received := make(chan string, seenCapacity)
			addr, accept := listenWithFullBacklog(t, func(conn net.Conn) {
				readRequestIDs(conn, func(id string) bool {
					received <- id
					return writeEmptyResult(conn, id)
				})
			})
			front := newFrontEnd(t, func(s *policy.Settings) { s.Limits.Cancel = cancelPermitted })
			front.settings.ConnectTimeout = waitLimit
			front.serveHTTP(addr)
			disconnecting := connectHTTP(t, front.addr)
			staying := connectHTTP(t, front.addr)
			disconnecting.send(queryRequest("lookup", ""))
			front.awaitCount("attempts.started.", 1)
			other := numberedID(2)
			staying.send(withID(withWait(queryRequest("lookup", ""), longWait), other))
			disconnecting.close()
			front.awaitCount("requests.disconnected.", 1)
			front.assertCount("attempts.ended.not-sent", 1)
			accept()
			assertEqual(t, "the other client's response", staying.receive(), emptyResult)
			assertEqual(t, "the engine received first", await(t, received), other)
		})
	}
}
