package e2e

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"flaxrelay/policy"
)

// A malformed response of an engine closes its connection, and the client still gets exactly one response.
func TestEngineFault_MalformedResponseIsAProtocolError(t *testing.T) {
	for name, response := range map[string]string{
		"no response line":            "nonsense\r\n",
		"body too long":               requestID + " DONE - 99999999\r\n",
		"body longer than its length": requestID + " DONE - 2\r\nabcd",
		"unknown kind":                requestID + " HUH - 0\r\n\r\n",
		"unterminated row":            requestID + " DONE batches=1 3\r\nabc\r\n",
		"batches not a number":        requestID + " DONE batches=x 0\r\n\r\n",
		"unterminated line":           strings.Repeat("x", 3000),
		"too few columns":             requestID + " DONE batches=1 4\r\na\tb\n\r\n",
		"row not text":                requestID + " DONE batches=1 6\r\na\tb\t\xff\n\r\n",
		"no batches":                  requestID + " DONE - 0\r\n\r\n",
		"too many batches":            requestID + " DONE batches=65 0\r\n\r\n",
		"length past 32 bits":         requestID + " DONE batches=1 3000000000\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			addr, _ := startLineEngine(t, func(string) string { return response })
			front := startHTTP(t, addr)
			got, _ := connectHTTP(t, front.addr).roundTrip(queryRequest("lookup", ""))
			if !strings.HasPrefix(got, "503") && !strings.HasPrefix(got, "500") {
				t.Errorf("response %s", got)
			}
			if n := front.count("attempts.ended.protocol-error"); n == 0 {
				t.Error("no attempt ended with a protocol error")
			}
		})
	}
}

// A duplicate response, or a response with an unknown id, ends neither the connection nor the other requests on it.
func TestEngineFault_DuplicateResponsesKeepTheConnection(t *testing.T) {
	addr, _ := startLineEngine(t, func(line string) string {
		words := strings.Fields(line)
		switch words[0] {
		case "want":
			page := fmt.Sprintf("%s DONE batches=2 4\r\na\t\t\n\r\n", words[1])
			return "0000000000000000 DONE - 2\r\nxx\r\n" + page + page
		case "turn":
			page := fmt.Sprintf("%s MORE batch=1 4\r\nb\t\t\n\r\n", words[1])
			return page + page
		}
		return ""
	})
	front := startHTTP(t, addr)
	client := connectHTTP(t, front.addr)
	for n := range 3 {
		got, _ := client.roundTrip(withID(queryRequest("lookup", ""), numberedID(n+1)))
		assertEqual(t, "response", got, `200 {"result":[["a","",""],["b","",""]]}`)
	}
	front.assertCount("engine-connections.dialed", 1)
}

// An engine stops sending before its response is complete, and its connection stays open. The front end soon closes the
// connection, all attempts on it end, and both requests are served on another connection.
func TestEngineFault_StalledResponseEndsTheConnectionAndIsRetried(t *testing.T) {
	stalled := false
	addr, seen := startLineEngine(t, func(line string) string {
		words := strings.Fields(line)
		switch {
		case words[0] != "want" || strings.HasSuffix(words[1], "1") && !stalled:
			return ""
		case !stalled:
			stalled = true
			return words[1] + " DONE batches=1 400\r\na\tb"
		}
		return fmt.Sprintf("%s DONE batches=1 0\r\n\r\n", words[1])
	})
	front := startHTTP(t, addr)
	first := connectHTTP(t, front.addr)
	second := connectHTTP(t, front.addr)
	first.send(queryRequest("lookup", "")) // its id ends in 1
	await(t, seen)
	got, _ := second.roundTrip(withID(queryRequest("lookup", ""), numberedID(2)))
	assertEqual(t, "the request whose response stalled", got, emptyResult)
	assertEqual(t, "the other request on that connection", first.receive(), emptyResult)
	front.assertCount("attempts.ended.protocol-error", 2)
}

// dripInterval is the pause after each byte of an endless response. It is shorter than the pause that the front end
// treats as a stall.
const dripInterval = 100 * time.Millisecond

// writeEndlessResponse sends a response one byte at a time until the front end closes the connection.
func writeEndlessResponse(conn net.Conn, id string) {
	_, err := fmt.Fprintf(conn, "%s DONE batches=1 9000\r\n", id)
	for ; err == nil; _, err = io.WriteString(conn, "a") {
		time.Sleep(dripInterval)
	}
}

// A response arrives one byte at a time and never ends. Its connection is closed while the client still waits, and the
// engine serves the client on a new connection.
func TestEngineFault_EndlessResponseEndsTheConnectionAndIsRetried(t *testing.T) {
	isFirst := firstCall()
	addr := listen(t, func(conn net.Conn) {
		readRequestIDs(conn, func(id string) bool {
			if isFirst() {
				writeEndlessResponse(conn, id)
				return false
			}
			return writeEmptyResult(conn, id)
		})
	})
	front := newFrontEnd(t, func(s *policy.Settings) { s.Limits.Cancel = false }).serveHTTP(addr)
	client := connectHTTP(t, front.addr)
	got, _ := client.roundTrip(withWait(queryRequest("lookup", ""), longWait))
	assertEqual(t, "response", got, emptyResult)
	front.assertCount("attempts.ended.protocol-error", 1)
}

// An attempt times out at an engine that does not respond. The engine receives a cancellation only if the settings
// permit it, and the client gets exactly one response in either case.
func TestEngineFault_TimeoutIsCancelledOnlyWherePermitted(t *testing.T) {
	for cancelPermitted, wantCancels := range map[bool]int{true: 1, false: 0} {
		t.Run(fmt.Sprintf("permitted=%v", cancelPermitted), func(t *testing.T) {
			addr, seen := startLineEngine(t, func(line string) string {
				if words := strings.Fields(line); words[1] == numberedID(2) {
					return doneReply(line, "")
				}
				return ""
			})
			front := newFrontEnd(t, func(s *policy.Settings) { s.Limits.Cancel = cancelPermitted }).serveHTTP(addr)
			client := connectHTTP(t, front.addr)
			got, _ := client.roundTrip(withWait(queryRequest("lookup", ""), "200"))
			if !strings.HasPrefix(got, "50") {
				t.Errorf("response %s", got)
			}
			front.awaitCount("attempts.ended.", 1)
			got, _ = client.roundTrip(withID(queryRequest("lookup", ""), numberedID(2)))
			assertEqual(t, "the next response", got, emptyResult)
			cancels := 0
			for line := ""; !strings.HasPrefix(line, "want "+numberedID(2)); {
				if line = await(t, seen); strings.HasPrefix(line, "never_mind") {
					cancels++
				}
			}
			if cancels != wantCancels {
				t.Errorf("the engine received %d cancels, want %d", cancels, wantCancels)
			}
		})
	}
}
