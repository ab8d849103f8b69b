package e2e

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// sizedRequest returns the text of a request with a statement of this size.
func sizedRequest(size int, id string) string {
	const start, end = "SELECT day FROM sales_17.orders WHERE id = '", "'"
	statement := start + strings.Repeat("x", size-len(start)-len(end)) + end
	return fmt.Sprintf("POST /rpc/lookup HTTP/1.1\r\nReq-Id: %s\r\nReq-Wait-Ms: %s\r\nContent-Length: %d\r\n\r\n%s",
		id, longWait, len(statement), statement)
}

// Guards against dropping a request that its client has sent completely, and closing its connection, because
// incomplete requests of other clients use up the read buffers: these are rejected instead, the oldest first.
func TestReadBudget_CompleteRequestIsServedWhileOthersFillTheBuffers(t *testing.T) {
	const (
		statementSize = 90 << 10
		incomplete    = 4
		budget        = incomplete * (statementSize + 1<<10) // of the incomplete requests alone
		usual         = 3
		// The order of two arrivals is not known if they are closer than this.
		arrivalStep = 20 * time.Millisecond
	)
	addr, _ := startLineEngine(t, emptyReply)
	front := newFrontEnd(t, nil)
	front.loop.SetReadBudgets(budget, budget)
	front.httpOptions.ReadTimeout = time.Minute // only the budget ends the incomplete requests
	front.serveHTTP(addr)
	var stalled []*httpClient
	for n := range incomplete {
		request := sizedRequest(statementSize, numberedID(n+1))
		client := connectHTTP(t, front.addr)
		client.send(request[:len(request)-1])
		stalled = append(stalled, client)
		front.awaitBuffered(int64(n+1) * statementSize)
		time.Sleep(arrivalStep)
	}
	for n := range usual {
		client := connectHTTP(t, front.addr)
		got, _ := client.roundTrip(bareHealthRequest)
		assertEqual(t, "health check", got, "200 {}")
		got, _ = client.roundTrip(sizedRequest(statementSize, numberedID(incomplete+n+1)))
		assertEqual(t, "complete request", got, emptyResult)
	}
	assertEqual(t, "oldest incomplete request", stalled[0].receive(), busyResult)
	stalled[0].assertClosed()
	stalled[0].close()
	front.awaitCount("http.closed.read-budget", 1)
}
