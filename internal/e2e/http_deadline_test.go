package e2e

import (
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"flaxrelay/internal/frontend/httpserver"
)

// deadlineSlack is the number of milliseconds by which the time given to an engine may exceed the client's time left.
const deadlineSlack = 150

// timeLeftField matches the field of a request line that gives the engine its time in milliseconds.
var timeLeftField = regexp.MustCompile(`,ms=([0-9]+)`)

// awaitTimeLeft waits until an engine receives the request, and returns the milliseconds that the engine was given.
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

// Two requests are pipelined on one connection, and the first times out at an engine that does not respond. The
// deadline of the second request is counted from its last byte. This deadline has passed when the first request gets
// its response, so the second request is rejected at once and not forwarded.
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

// Two requests are pipelined, and the first byte of a third request is read while the first request is in flight. This
// byte does not move the deadline of the second request, which is counted from the last byte of the second request.
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
	// At least 300 ms of the second request's 1000 ms have passed.
	if left := awaitTimeLeft(t, seen, numberedID(2)); left > 700+deadlineSlack {
		t.Errorf("the engine was given %d ms, want %d at most", left, 700+deadlineSlack)
	}
}

// The deadline of a request is counted from its last byte, even if the connection still waits in the kernel to be
// accepted. It may wait because accepts fail for a while, or because an earlier client must disconnect first.
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
	const maxLeft = 400 + deadlineSlack
	if left := awaitTimeLeft(t, seen, requestID); left > maxLeft {
		t.Errorf("the engine was given %d ms after %v of the 1000 ms had passed", left, waited)
	}
}
