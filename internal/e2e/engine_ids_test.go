package e2e

import (
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"flaxrelay/internal/tcptest"
)

// idRecorder records the ids of the requests on each connection of an engine.
type idRecorder struct {
	mu          sync.Mutex
	connections int
	repeated    []string // ids that arrived twice on one connection
}

// serve serves each request on a connection with one row that contains its id.
func (r *idRecorder) serve(conn net.Conn) {
	r.mu.Lock()
	r.connections++
	r.mu.Unlock()
	seen := map[string]bool{}
	readRequestIDs(conn, func(id string) (keepReading bool) {
		if seen[id] {
			r.mu.Lock()
			r.repeated = append(r.repeated, id)
			r.mu.Unlock()
		}
		seen[id] = true
		_, err := fmt.Fprint(conn, servedResponse(id, id+"\t\t\n"))
		return err == nil
	})
}

// Guards against a client that gets the rows of another client's request: an engine sends a response twice, and the
// second copy arrives after a request with the same id and a different statement was sent on the connection.
func TestEngineFault_LateDuplicateIsNotTheResponseToALaterRequest(t *testing.T) {
	const workTime = 100 * time.Millisecond // longer than the duplicate takes
	duplicated := firstCall()
	front := startHTTP(t, listen(t, func(conn net.Conn) {
		duplicate := ""
		readRequestIDs(conn, func(id string) (keepReading bool) {
			if duplicated() {
				duplicate = servedResponse(id, "foreign\t\t\n")
				_, err := io.WriteString(conn, duplicate)
				return err == nil
			}
			if _, err := io.WriteString(conn, duplicate); err != nil {
				return false
			}
			time.Sleep(workTime)
			_, err := io.WriteString(conn, servedResponse(id, "own\t\t\n"))
			return err == nil
		})
	}))
	for _, want := range []string{"foreign", "own", "own"} {
		got, _ := connectHTTP(t, front.addr).roundTrip(queryRequest("lookup", ""))
		assertEqual(t, "response", got, fmt.Sprintf(`200 {"result":[[%q,"",""]]}`, want))
	}
}

// Guards against engine connections that remember ids without a limit, and against ids that are written twice on one
// connection: a connection that has carried many requests is replaced, and no request is lost.
func TestEngineConnection_CarriesEachIDOnceAndIsReplacedInTime(t *testing.T) {
	const (
		requests          = 4200 // more than two connections carry
		requestsPerClient = 300  // so that no client connection lasts for waitLimit
	)
	var recorder idRecorder
	listener := tcptest.Listen(t, tcptest.AnyLoopbackPort)
	go tcptest.Serve(listener, recorder.serve) // without a time limit
	front := startHTTP(t, listener.Addr().String())
	var client *httpClient
	for n := range requests {
		if n%requestsPerClient == 0 {
			client = connectHTTP(t, front.addr)
		}
		id := numberedID(n)
		got, _ := client.roundTrip(withID(queryRequest("lookup", ""), id))
		assertEqual(t, "response", got, fmt.Sprintf(`200 {"result":[[%q,"",""]]}`, id))
	}
	front.assertCount("engine-connections.dialed", 3)
	front.assertCount("engine-connections.ids-exhausted", 2)
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	if len(recorder.repeated) > 0 || recorder.connections != 3 {
		t.Errorf("%d connections; ids on the same connection twice: %v", recorder.connections, recorder.repeated)
	}
}

// Guards against a client that repeats an id: each of its requests gets its own response, and the front end keeps only
// as many connections as a request may have attempts.
func TestEngineConnection_RepeatedIDsDoNotAddConnections(t *testing.T) {
	const (
		repetitions = 20
		maxAttempts = 3 // of the settings
	)
	var recorder idRecorder
	front := startHTTP(t, listen(t, recorder.serve))
	client := connectHTTP(t, front.addr)
	for range repetitions {
		got, _ := client.roundTrip(queryRequest("lookup", ""))
		assertEqual(t, "response", got, fmt.Sprintf(`200 {"result":[[%q,"",""]]}`, requestID))
	}
	closed := func() int64 { return front.count("engine-connections.closed.idle-closed") }
	if !poll(func() bool { return closed() == repetitions-maxAttempts }) {
		t.Errorf("%d connections of %d are closed", closed(), repetitions)
	}
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	if len(recorder.repeated) > 0 || recorder.connections != repetitions {
		t.Errorf("%d connections; ids on the same connection twice: %v", recorder.connections, recorder.repeated)
	}
}
