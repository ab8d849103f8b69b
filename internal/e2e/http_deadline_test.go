package e2e

import (
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"flaxrelay/internal/frontend/httpserver"
)

// deadlineSlack is by how many milliseconds the time that an engine is given may exceed what the client has left.
const deadlineSlack = 150

// timeLeftField matches the time that a request line gives its engine, in milliseconds.
var timeLeftField = regexp.MustCompile(`,ms=([0-9]+)`)

// awaitTimeLeft waits until an engine receives the request, and returns the milliseconds that it was given.
func awaitTimeLeft(t *testing.T, seen <-chan string, id string) (milliseconds int) {
	t.Helper()
	line := await(t, seen)
	for !strings.HasPrefix(line, "want "+id) { // other requests, and their cancellations
		line = await(t, seen)
	}
	match := timeLeftField.FindStringSubmatch(line)
	if match == nil {
		t.Fatalf("no time left in %q", line)
	}
	milliseconds, err := strconv.Atoi(match[1])
	if err != nil {
		t.Fatal(err)
	}
	return milliseconds
}

// Two requests are pipelined on one connection, and the first times out at an engine that does not respond. The wait of
// the second began with its last byte. It has passed when the first has its response, so that the second is rejected
// at once and not forwarded.
func TestHTTP_DeadlineOfPipelinedRequestRunsFromItsArrival(t *testing.T) {
	addr, seen := startLineEngine(t, noReply)
	front := startHTTP(t, addr)
	client := connectHTTP(t, front.addr)
	first := withWait(queryRequest("lookup", ""), "300")
	second := withID(withWait(queryRequest("lookup", ""), "200"), numberedID(2))
	client.send(first + second)
	assertEqual(t, "first response", client.receive(), busyResult)
	assertEqual(t, "second response", client.receive(), busyResult)
	received, _, _ := strings.Cut(await(t, seen), " kind=")
	assertEqual(t, "the engine received", received, "want "+requestID)
	front.assertCount("attempts.started.", 1)
}

// Bytes of a later request are read while an earlier one is in flight. They do not move the deadline of the request
// between the two: its time runs from its own last byte.
func TestHTTP_LaterBytesDoNotMoveTheDeadlineOfAPipelinedRequest(t *testing.T) {
	const laterBytesAfter = 280 * time.Millisecond
	addr, seen := startLineEngine(t, noReply)
	front := startHTTP(t, addr)
	client := connectHTTP(t, front.addr)
	first := withWait(queryRequest("lookup", ""), "300")
	second := withID(withWait(queryRequest("lookup", ""), "1000"), numberedID(2))
	client.send(first + second)
	await(t, seen)
	time.Sleep(laterBytesAfter)
	client.send("P")
	assertEqual(t, "first response", client.receive(), busyResult)
	// At least 300 of its 1000 ms were over.
	if left := awaitTimeLeft(t, seen, numberedID(2)); left > 700+deadlineSlack {
		t.Errorf("the engine was given %d ms, want %d at most", left, 700+deadlineSlack)
	}
}

// The time of a request also runs while it waits in the kernel for its connection to be accepted, from its last byte
// on: accepts may fail for a while, and the place of an earlier client may be needed.
func TestHTTP_DeadlineRunsWhileTheConnectionAwaitsItsAccept(t *testing.T) {
	const waited = 600 * time.Millisecond
	addr, seen := startLineEngine(t, noReply)
	front := newFrontEnd(t, nil)
	front.httpOptions.MaxClients = 1
	front.serveHTTP(addr)
	const slots = 1 + httpserver.SpareClients
	var holders []*httpClient
	for n := range slots { // with a request in flight, so that none is evicted
		holder := connectHTTP(t, front.addr)
		holder.send(withID(withWait(queryRequest("lookup", ""), longWait), numberedID(n)))
		holders = append(holders, holder)
	}
	front.awaitCount("http.connections", slots)
	client := connectHTTP(t, front.addr)
	client.send(withWait(queryRequest("lookup", ""), "1000"))
	time.Sleep(waited)
	for _, holder := range holders {
		holder.close()
	}
	const mostLeft = 400 + deadlineSlack
	if left := awaitTimeLeft(t, seen, requestID); left > mostLeft {
		t.Errorf("the engine was given %d ms after a wait of %v, of 1000 ms in all", left, waited)
	}
}
