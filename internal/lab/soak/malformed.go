package soak

import (
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"time"
)

// malformedResponseTimeout limits the time until a front end closes the connection of a malformed request. By
// the specification, it responds or closes the connection within 3 s; the rest is slack for a busy machine.
const malformedResponseTimeout = 4 * time.Second

// malformedRequests returns the malformed requests from which a client draws one. A change of the order
// changes the requests of every seed.
func malformedRequests(id string) []string {
	const tooLongPath = 40000
	return []string{
		"hello\r\n\r\n",
		"POST /rpc/lookup HTTP/1.1\r\nContent-Length: -5\r\n\r\n",
		"POST /rpc/lookup HTTP/1.1\r\nReq-Id: " + id + "\r\nReq-Wait-Ms: NaN\r\nContent-Length: 1\r\n\r\nx",
		"POST /rpc/nowhere HTTP/1.1\r\nReq-Id: " + id + "\r\nReq-Wait-Ms: 100\r\nContent-Length: 1\r\n\r\nx",
		"GET /" + strings.Repeat("x", tooLongPath),
		"POST /rpc/lookup HTTP/1.1\r\nReq-Id: " + id + "\r\nContent-Le", // truncated in a header
		"", // nothing is sent
	}
}

// sendMalformedRequest sends a malformed request on a new connection and checks that the front end closes the
// connection, with or without a response. The request is not part of the history.
func (c *client) sendMalformedRequest() {
	target := c.run.pickFrontEnd(c.random)
	if target == nil {
		return
	}
	conn, err := net.DialTimeout("tcp", target.addr, dialTimeout)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	startedAt := time.Now()
	_ = conn.SetDeadline(startedAt.Add(malformedResponseTimeout))
	id := fmt.Sprintf("ffff%04x%08x", c.number, c.sent) // ffff in place of the seed
	texts := malformedRequests(id)
	if _, err := io.WriteString(conn, texts[c.random.IntN(len(texts))]); err != nil {
		return // the front end has already closed the connection
	}
	_, err = io.Copy(io.Discard, conn)
	var netError net.Error
	timedOut := errors.As(err, &netError) && netError.Timeout()
	if timedOut && !target.killedWithin(startedAt, time.Now()) {
		target.report(RuleMalformedRequest, "%s: the connection was not closed within %v",
			target.name, malformedResponseTimeout)
	}
}
