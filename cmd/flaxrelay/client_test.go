package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// lookupRequest formats a request of an idempotent class with the given id.
func lookupRequest(requestID string) string {
	return "POST /rpc/lookup HTTP/1.1\r\nReq-Id: " + requestID +
		"\r\nReq-Wait-Ms: 6000\r\nContent-Length: 8\r\n\r\nSELECT 1"
}

const healthRequest = "GET /health HTTP/1.1\r\n\r\n"

// httpClient sends requests one after another on one connection.
type httpClient struct {
	t         *testing.T
	conn      net.Conn
	responses *bufio.Reader
}

func newHTTPClient(t *testing.T, address string, timeout time.Duration) *httpClient {
	t.Helper()
	conn := dial(t, address)
	if err := conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		t.Fatal(err)
	}
	return &httpClient{t: t, conn: conn, responses: bufio.NewReader(conn)}
}

// expectOK sends a request and checks that the status of its response is 200.
func (c *httpClient) expectOK(request string) {
	c.t.Helper()
	if _, err := io.WriteString(c.conn, request); err != nil {
		c.t.Fatal(err)
	}
	response, err := http.ReadResponse(c.responses, nil)
	if err != nil {
		c.t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, response.Body)
	if response.StatusCode != http.StatusOK {
		c.t.Errorf("%.20q got %s", request, response.Status)
	}
}

// sendLookup sends one request on a new connection. The channel receives the status of the
// response, followed by ", retry after" if the response has a Retry-After time.
func sendLookup(t *testing.T, address, requestID string) <-chan string {
	t.Helper()
	client := newHTTPClient(t, address, 10*time.Second)
	if _, err := io.WriteString(client.conn, lookupRequest(requestID)); err != nil {
		t.Fatal(err)
	}
	status := make(chan string, 1)
	go func() {
		response, err := http.ReadResponse(client.responses, nil)
		if err != nil {
			status <- err.Error()
			return
		}
		if response.Header.Get("Srv-Wait-Ms") != "" {
			response.Status += ", retry after"
		}
		status <- response.Status
	}()
	return status
}

// lookupTimeout limits the duration of lookupOnce.
const lookupTimeout = 2200 * time.Millisecond

// lookupOnce sends one request on a new connection and returns the status of the response.
func lookupOnce(address, requestID string) (status string, err error) {
	conn, err := net.DialTimeout("tcp", address, lookupTimeout)
	if err != nil {
		return "", err
	}
	defer closeQuietly(conn)
	if err := conn.SetDeadline(time.Now().Add(lookupTimeout)); err != nil {
		return "", err
	}
	request := strings.Replace(lookupRequest(requestID), "Req-Wait-Ms: 6000", "Req-Wait-Ms: 1500", 1)
	if _, err := io.WriteString(conn, request); err != nil {
		return "", fmt.Errorf("send the request: %w", err)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return "", fmt.Errorf("read the response: %w", err)
	}
	defer closeQuietly(response.Body)
	if _, err := io.ReadAll(response.Body); err != nil {
		return "", fmt.Errorf("read the body: %w", err)
	}
	return response.Status, nil
}

// dial opens a connection that is closed at the end of the test.
func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeQuietly(conn) })
	return conn
}

// closeQuietly closes a resource and ignores the error.
func closeQuietly(c io.Closer) { _ = c.Close() }

// sequentialRequestID returns the request id for a number. Different numbers have different ids.
func sequentialRequestID(n int) string { return fmt.Sprintf("%016x", n) }
