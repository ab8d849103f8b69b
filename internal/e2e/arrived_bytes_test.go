package e2e

import (
	"bufio"
	"net"
	"strings"
	"testing"
	"time"
)

// busyFor blocks the event loop for a time that exceeds a timeout. Then it has the peer send, and returns once the
// poller has read size bytes: the timer is due before the bytes are handled.
func (f *frontEnd) busyFor(busy time.Duration, send func(), size int64) {
	f.t.Helper()
	f.onLoop(func() {
		time.Sleep(busy)
		before := f.loop.BufferedBytes()
		send()
		if !poll(func() bool { return f.loop.BufferedBytes() >= before+size }) {
			f.t.Errorf("the poller has not read %d bytes after %v", size, waitLimit)
		}
	})
}

// Guards against requests that are dropped because the read timer expires when the rest of the first one has arrived
// and is not handled yet.
func TestReadTimeout_RequestsThatHaveArrivedHaveResponses(t *testing.T) {
	const readTimeout = 50 * time.Millisecond
	addr, _ := startLineEngine(t, emptyReply)
	front := newFrontEnd(t, nil)
	front.httpOptions.ReadTimeout = readTimeout
	front.serveHTTP(addr)
	client := connectHTTP(t, front.addr)
	got, _ := client.roundTrip(bareHealthRequest)
	assertEqual(t, "health check", got, "200 {}")
	request := queryRequest("lookup", "")
	start, rest := request[:len(request)/2], request[len(request)/2:]+withID(request, numberedID(2))
	front.onLoop(func() { front.deliver(client.conn, start) })
	front.busyFor(2*readTimeout, func() { client.send(rest) }, int64(len(rest)))
	for range 2 {
		assertEqual(t, "response", client.receive(), emptyResult)
	}
	front.assertCount("http.read-timeouts", 0)
}

// Guards against an error in place of the response to a query whose rest has arrived when the client is found to stall.
func TestPostgresStall_MessageThatHasArrivedIsServed(t *testing.T) {
	const stall = 2100 * time.Millisecond // exceeds the stall timeout
	addr, _ := startPgEngine(t, oneRowReply)
	front := startPostgres(t, addr)
	client := connectPostgres(t, front.addr)
	message := query("SELECT 1")
	client.send(message[:6])
	front.awaitBuffered(6)
	rest := message[6:]
	front.busyFor(stall, func() { client.send(rest) }, int64(len(rest)))
	assertEqual(t, "response", client.receiveUntilReady(), "T D(a) C(SELECT 1) Z")
	front.assertCount("postgres.stalled", 0)
}

// Guards against a response that is dropped, together with its connection, because the timeout of an incomplete
// response expires when the rest has arrived and is not handled yet.
func TestEngineTimeout_ResponseThatHasArrivedIsServed(t *testing.T) {
	const stall = 600 * time.Millisecond // exceeds the stall timeout
	rest := make(chan string)
	addr := listen(t, func(conn net.Conn) {
		line, err := readEngineLine(bufio.NewReader(conn))
		if err != nil {
			return
		}
		response := servedResponse(strings.Fields(line)[1], "")
		if _, err := conn.Write([]byte(response[:len(response)/2])); err != nil {
			return
		}
		rest <- response[len(response)/2:]
		if _, err := conn.Write([]byte(<-rest)); err != nil {
			return
		}
		<-rest // keeps the connection open
	})
	front := startHTTP(t, addr)
	client := connectHTTP(t, front.addr)
	client.send(queryRequest("lookup", ""))
	text := <-rest
	front.awaitBuffered(1)
	front.busyFor(stall, func() { rest <- text }, int64(len(text)))
	assertEqual(t, "response", client.receive(), emptyResult)
	front.assertCount("attempts.started.", 1)
	close(rest)
}
