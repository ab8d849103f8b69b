package e2e

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

const (
	// requestID is the id of a request unless a test sets another.
	requestID = "9b1f03aa5c7e2d41"
	// defaultWait is the client's wait in milliseconds unless a test sets another.
	defaultWait = "2000"
	// longWait is a client's wait in milliseconds that outlasts the scenario.
	longWait = "8000"
	// emptyResult is the status and the body of the response to a request that matched no rows.
	emptyResult = `200 {"result":[]}`
	// busyResult is the status and the body of the response to a rejected request.
	busyResult = `503 {"fault":"Busy"}`
	// bareHealthRequest is a health check without any header.
	bareHealthRequest = "GET /health HTTP/1.1\r\n\r\n"
)

// queryRequest returns the text of a request of the class. The statement in the request reads the table orders.
func queryRequest(class, headers string) string { return tableRequest(class, "orders", headers) }

// tableRequest returns the text of a request whose statement reads the table.
func tableRequest(class, table, headers string) string {
	statement := "SELECT day FROM sales_17." + table
	return fmt.Sprintf("POST /rpc/%s HTTP/1.1\r\nHost: backend.local\r\n", class) +
		fmt.Sprintf("Req-Id: %s\r\nReq-Wait-Ms: %s\r\n", requestID, defaultWait) +
		headers + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(statement), statement)
}

// withID returns the request with its id replaced.
func withID(request, id string) string { return strings.Replace(request, requestID, id, 1) }

// withWait returns the request with the client's wait replaced.
func withWait(request, milliseconds string) string {
	return strings.Replace(request, defaultWait, milliseconds, 1)
}

// numberedID returns the n-th of a sequence of request ids.
func numberedID(n int) string { return fmt.Sprintf("%016x", n) }

// httpClient is a client with one persistent connection.
type httpClient struct {
	t    *testing.T
	conn net.Conn
	in   *bufio.Reader
}

func connectHTTP(t *testing.T, addr string) *httpClient {
	t.Helper()
	conn := dial(t, addr)
	return &httpClient{t: t, conn: conn, in: bufio.NewReader(conn)}
}

// send writes text and does not wait for a response.
func (c *httpClient) send(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c.conn, text); err != nil {
		c.t.Fatal(err)
	}
}

// roundTrip writes text and returns the status and the body of the next response, and its header.
func (c *httpClient) roundTrip(text string) (summary string, header http.Header) {
	c.t.Helper()
	c.send(text)
	response, err := http.ReadResponse(c.in, nil)
	if err != nil {
		c.t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		c.t.Fatal(err)
	}
	return fmt.Sprintf("%d %s", response.StatusCode, body), response.Header
}

// receive returns the status and the body of the next response.
func (c *httpClient) receive() string {
	c.t.Helper()
	summary, _ := c.roundTrip("")
	return summary
}

// close disconnects the client.
func (c *httpClient) close() {
	c.t.Helper()
	if err := c.conn.Close(); err != nil {
		c.t.Fatal(err)
	}
}

// assertClosed checks that the front end closes the connection and sends nothing more.
func (c *httpClient) assertClosed() {
	c.t.Helper()
	if _, err := c.in.ReadByte(); !errors.Is(err, io.EOF) {
		c.t.Errorf("the connection stays open: %v", err)
	}
}

// pageRow is the row that is repeated in the pages of a long result.
const pageRow = `["x","y","z"]`

// morePathOf returns the path of the further pages in a response, and reports whether there are further pages.
func morePathOf(summary string) (path string, more bool) {
	_, path, more = strings.Cut(summary, `"more":"`)
	path, _, _ = strings.Cut(path, `"`)
	return path, more
}

// countRows fetches the further pages of a response and returns the number of rows in all its pages.
func (c *httpClient) countRows(summary string) (rows int) {
	c.t.Helper()
	const maxPages = 9
	for range maxPages {
		rows += strings.Count(summary, pageRow)
		path, more := morePathOf(summary)
		if !more {
			return rows
		}
		summary, _ = c.roundTrip("GET " + path + " HTTP/1.1\r\n\r\n")
	}
	c.t.Fatalf("more than %d pages", maxPages)
	return 0
}
