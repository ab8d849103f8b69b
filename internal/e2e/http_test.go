package e2e

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"
)

// A request is forwarded with its id, class and idempotency key, and its rows are returned unchanged and in order.
func TestHTTP_ForwardsRequestFieldsAndReturnsRowsInOrder(t *testing.T) {
	addr, seen := startLineEngine(t, func(line string) string {
		return requestID + " TELL res=p,num=0.5 0\r\n\r\n" + doneReply(line, "a\t\"1\"\t\\x\nb\t2\té\n")
	})
	front := startHTTP(t, addr)
	client := connectHTTP(t, front.addr)
	got, _ := client.roundTrip(queryRequest("load", "Req-Token: k-1\r\nReq-Kb: 96\r\nReq-Cost: 820.0\r\n"))
	assertEqual(t, "response", got, `200 {"result":[["a","\"1\"","\\x"],["b","2","é"]]}`)
	line := await(t, seen)
	for _, part := range []string{
		"want " + requestID + " kind=load,ms=", ",token=k-1,", " 31 SELECT day FROM sales_17.orders",
	} {
		if !strings.Contains(line, part) {
			t.Errorf("the engine received %q, without %q", line, part)
		}
	}
	front.assertCount("attempts.progress", 1)
}

const (
	// rowsPerPage is the number of rows in a page of the engine. The front end combines several of these pages in each
	// page of a response.
	rowsPerPage       = 1000
	pagesOfLongResult = 16
	rowsOfLongResult  = pagesOfLongResult * rowsPerPage
)

// longResultReply serves each request with a result of many pages.
func longResultReply(line string) string {
	page := strings.Repeat("x\ty\tz\n", rowsPerPage)
	words := strings.Fields(line)
	switch words[0] {
	case "want":
		return fmt.Sprintf("%s DONE batches=%d %d\r\n%s\r\n", words[1], pagesOfLongResult, len(page), page)
	case "turn":
		return fmt.Sprintf("%s MORE batch=%s %d\r\n%s\r\n", words[1], words[2], len(page), page)
	}
	return ""
}

// assertLongResult fetches the further pages of a response, and checks that the result is complete.
func (c *httpClient) assertLongResult(summary string) {
	c.t.Helper()
	if rows := c.countRows(summary); rows != rowsOfLongResult {
		c.t.Errorf("%d rows, want %d", rows, rowsOfLongResult)
	}
}

// An engine crashes after it has sent the first page of a result. No row has been forwarded yet, so another engine
// serves the client, which fetches the long result page by page.
func TestHTTP_CollectsPagesBeforeForwardingRows(t *testing.T) {
	isFirstTurn := firstCall()
	script := func(line string) string {
		if strings.HasPrefix(line, "turn ") && isFirstTurn() {
			return closeConnection
		}
		return longResultReply(line)
	}
	first, _ := startLineEngine(t, script)
	second, _ := startLineEngine(t, script)
	front := startHTTP(t, first, second)
	client := connectHTTP(t, front.addr)
	got, _ := client.roundTrip(queryRequest("report", ""))
	client.assertLongResult(got)
	front.assertCount("attempts.started.", 2)
}

// A request for further pages has the status 404 if the result has been deleted or the path is from an earlier process.
func TestHTTP_PathWithoutAResultIsNotFound(t *testing.T) {
	addr, _ := startLineEngine(t, longResultReply)
	front := startHTTP(t, addr)
	client := connectHTTP(t, front.addr)
	got, _ := client.roundTrip(queryRequest("report", ""))
	path, _ := morePathOf(got)
	got, _ = connectHTTP(t, front.addr).roundTrip("DELETE " + path + " HTTP/1.1\r\n\r\n")
	assertEqual(t, "deleted result", got, "200 {}")
	got, _ = client.roundTrip("GET " + path + " HTTP/1.1\r\n\r\n")
	assertEqual(t, "path of a deleted result", got[:3], "404")
	got, _ = client.roundTrip("GET /more/other-1/1 HTTP/1.1\r\n\r\n")
	assertEqual(t, "path from before a restart", got, `404 {"fault":"nothing is held under this path"}`)
}

// A client can fetch the rest of its result during a graceful shutdown. Its connection is closed after the last page.
func TestHTTP_LongResultIsFetchedDuringAGracefulShutdown(t *testing.T) {
	addr, _ := startLineEngine(t, longResultReply)
	front := startHTTP(t, addr)
	client := connectHTTP(t, front.addr)
	got, _ := client.roundTrip(queryRequest("report", ""))
	front.onLoop(front.server.Drain)
	client.assertLongResult(got)
	client.assertClosed()
}

// An invalid request has the status for its error, and is neither accepted nor forwarded.
func TestHTTP_InvalidRequestsAreRejectedWithoutAnAttempt(t *testing.T) {
	addr, _ := startLineEngine(t, emptyReply)
	front := startHTTP(t, addr)
	for name, tt := range map[string]struct{ text, want string }{
		"not HTTP":           {"hello\r\n\r\n", "400"},
		"unknown class":      {queryRequest("nope", ""), "404"},
		"unknown path":       {"GET /x HTTP/1.1\r\n\r\n", "404"},
		"method":             {"GET /rpc/lookup HTTP/1.1\r\n\r\n", "405"},
		"bad id":             {withID(queryRequest("lookup", ""), "xyz"), "400"},
		"bad wait":           {withWait(queryRequest("lookup", ""), "NaN"), "400"},
		"bad cost":           {queryRequest("lookup", "Req-Cost: -1\r\n"), "400"},
		"load without key":   {queryRequest("load", ""), "400"},
		"key with comma":     {queryRequest("load", "Req-Token: a,b\r\n"), "400"},
		"duplicate field":    {queryRequest("lookup", "Req-Id: "+requestID+"\r\n"), "400"},
		"large body":         {"POST /rpc/lookup HTTP/1.1\r\nContent-Length: 9999999\r\n\r\n", "413"},
		"large head":         {"GET /" + strings.Repeat("x", 20000), "431"},
		"chunked":            {"POST /rpc/lookup HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", "501"},
		"version":            {"GET /health HTTP/2.0\r\n\r\n", "505"},
		"delete unknown":     {"DELETE /more/x/1 HTTP/1.1\r\n\r\n", "404"},
		"valid health check": {bareHealthRequest, "200"},
		"more, no path":      {"GET /more/ HTTP/1.1\r\n\r\n", "404"},
	} {
		t.Run(name, func(t *testing.T) {
			got, _ := connectHTTP(t, front.addr).roundTrip(tt.text)
			assertEqual(t, "status", got[:len("400")], tt.want)
		})
	}
	front.assertCount("requests.accepted.", 0)
}

// Clients that send nothing, stall within a request, state a wrong length or send invalid bytes are disconnected or
// get an error response in time, and none of their requests reaches an engine. The connection is closed after the
// response to a malformed request, and requests that follow it have no response.
func TestHTTP_StalledAndMalformedClientsAreClosedInTime(t *testing.T) {
	addr, seen := startLineEngine(t, noReply)
	front := newFrontEnd(t, nil)
	front.httpOptions.ReadTimeout = 100 * time.Millisecond
	front.serveHTTP(addr)
	inFlight := connectHTTP(t, front.addr)
	inFlight.send(queryRequest("lookup", ""))
	await(t, seen)
	valid := withID(queryRequest("lookup", ""), numberedID(1))
	cases := map[string]struct{ text, want string }{
		"sends nothing":             {"", ""},
		"half a head":               {"POST /rpc/lookup HTTP/1.1\r\nReq-", "408"},
		"half a body":               {valid[:len(valid)-5], "408"},
		"length too small":          {valid + "and more", "400"},
		"no statement":              {"POST /rpc/lookup HTTP/1.1\r\nReq-Id: 0000000000000001\r\n\r\n", "411"},
		"statement not text":        {strings.Replace(valid, "day", "d\xffy", 1), "400"},
		"id of a request in flight": {strings.Replace(queryRequest("lookup", ""), "day", "sum", 1), "409"},
		"wait too long":             {withWait(valid, "99999999999999999999999"), "400"},
		"cost too large":            {strings.Replace(valid, "Host", "Req-Cost: 1e9\r\nHost", 1), "400"},
		"zero memory":               {strings.Replace(valid, "Host", "Req-Kb: 0\r\nHost", 1), "400"},
		"empty memory":              {strings.Replace(valid, "Host", "Req-Kb: \r\nHost", 1), "400"},
		"retry not a number":        {strings.Replace(valid, "Host", "Req-Retry: x\r\nHost", 1), "400"},
		"length and encoding":       {strings.Replace(valid, "Host", "Transfer-Encoding:\r\nHost", 1), "501"},
		"field after a bare LF":     {strings.Replace(valid, "backend", "b\nTransfer-Encoding: chunked", 1), "400"},
		"many malformed requests":   {strings.Repeat(strings.Replace(valid, "lookup", "nope", 1), 300), "404"},
	}
	const statusLinePrefix = "HTTP/1.1 "
	clients := map[string]*httpClient{}
	for name, tt := range cases {
		clients[name] = connectHTTP(t, front.addr)
		clients[name].send(tt.text)
	}
	for name, tt := range cases {
		responses, _ := io.ReadAll(clients[name].in) // until the front end closes the connection
		got, _ := strings.CutPrefix(string(responses), statusLinePrefix)
		assertEqual(t, name, got[:min(len(got), len("400"))], tt.want)
		if n := strings.Count(string(responses), statusLinePrefix); n > 1 {
			t.Errorf("%s: %d responses", name, n)
		}
	}
	front.assertCount("attempts.started.", 1)
	inFlight.send("no request")
	responses, _ := io.ReadAll(inFlight.in)
	assertEqual(t, "malformed request after one in flight", string(responses[:len("HTTP/1.1 400")]), "HTTP/1.1 400")
	assertEqual(t, "the engine received", await(t, seen), "never_mind "+requestID)
}
