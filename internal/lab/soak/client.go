package soak

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"time"
)

const (
	dialTimeout = time.Second
	// idleCloseRace is the time after a request is sent on an idle connection during which a close counts as an
	// idle close: the front end may have closed the connection before the request arrived. The client then
	// sends the request again, unless the front end was killed.
	idleCloseRace = 50 * time.Millisecond
	// clientIdleTime is the idle time after which a client closes its connection.
	clientIdleTime = 4 * time.Second
	// maxPause is the longest pause of a client between two requests.
	maxPause = 120 * time.Millisecond
)

// Deviations of a client from sending a request and waiting for the response. Each value n means one in n requests
// on average.
const (
	malformedRequestOneIn = 40
	disconnectOneIn       = 20
	slowWriteOneIn        = 8
)

// Upper limits of two delays of a client: the delay between the two parts of a request that is written slowly, and
// the delay before an early disconnect.
const (
	maxWriteDelayMS      = 60
	maxDisconnectDelayMS = 50
)

// client sends requests one after the other, as the platform's clients usually do. It writes some requests
// slowly and disconnects early during others. It is not safe for concurrent use.
type client struct {
	run    *run
	number int
	random *rand.Rand
	sent   int // number of requests so far

	conn      net.Conn // nil: none is open
	in        *bufio.Reader
	target    *frontEnd // the front end at the other end of conn
	idleSince time.Time
}

// sendRequests sends requests, some of them malformed, until stop is closed.
func (c *client) sendRequests(stop <-chan struct{}) {
	defer c.disconnect()
	for {
		select {
		case <-stop:
			return
		case <-time.After(drawDuration(c.random, 0, maxPause)):
		}
		if c.conn != nil && (time.Since(c.idleSince) > clientIdleTime || !c.target.acceptsRequests(time.Now())) {
			c.disconnect()
		}
		if c.random.IntN(malformedRequestOneIn) == 0 {
			c.sendMalformedRequest()
		} else {
			c.sendRequest()
		}
	}
}

func (c *client) disconnect() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// connect opens a connection to a front end that accepts new connections, and reports whether it succeeded.
func (c *client) connect() bool {
	target := c.run.pickFrontEnd(c.random)
	if target == nil {
		return false
	}
	conn, err := net.DialTimeout("tcp", target.addr, dialTimeout)
	if err != nil {
		return false // the connection was not accepted
	}
	c.conn = conn
	c.in = bufio.NewReader(conn)
	c.target = target
	return true
}

// newRequest returns a random request and its text.
func (c *client) newRequest() (r *request, text string) {
	const (
		minWaitMS   = 300
		waitRangeMS = 1200
		seedMask    = 0xffff
	)
	c.sent++
	id := fmt.Sprintf("%04x%04x%08x", c.run.options.Seed&seedMask, c.number, c.sent)
	class := classes[c.random.IntN(len(classes))]
	wait := time.Duration(minWaitMS+c.random.IntN(waitRangeMS)) * time.Millisecond
	statement := "SELECT day FROM sales_17.orders WHERE tag = '" + id + "'"
	return &request{id: id, class: class, wait: wait}, requestText(id, class, statement, wait)
}

// requestText returns the text of an HTTP request. Only a load has an idempotency key.
func requestText(id, class, statement string, wait time.Duration) string {
	idempotencyKey := ""
	if class == classLoad {
		idempotencyKey = "Req-Token: " + id + "\r\n"
	}
	return fmt.Sprintf("POST /rpc/%s HTTP/1.1\r\nHost: backend.local\r\nReq-Id: %s\r\nReq-Wait-Ms: %d\r\n%s"+
		"Content-Length: %d\r\n\r\n%s", class, id, wait.Milliseconds(), idempotencyKey, len(statement), statement)
}

// errNotSent reports a request that was not sent completely. Such a request is not recorded.
var errNotSent = errors.New("request not sent completely")

// sendRequest sends one request, waits until it has ended and records it. If the front end closes the idle
// connection at the same time, the client sends the request again on a new connection.
func (c *client) sendRequest() {
	req, text := c.newRequest()
	if c.conn != nil {
		err := c.exchange(req, text)
		if !c.closedWhileIdle(req, err) {
			c.record(req, err)
			return
		}
	}
	if c.connect() {
		req.newConnection = true
		c.record(req, c.exchange(req, text))
	}
}

// exchange sends a request on the open connection and waits until the request has ended. If exchange returns
// an error, it has closed the connection and the request has no outcome yet.
func (c *client) exchange(req *request, text string) error {
	req.frontEnd = c.target.name
	if !c.write(req, text) {
		c.disconnect()
		return errNotSent
	}
	c.run.announce(sentRequest{id: req.id, frontEnd: c.target})
	if c.random.IntN(disconnectOneIn) == 0 {
		c.disconnectEarly(req)
		return nil
	}
	if err := c.receive(req); err != nil {
		c.disconnect()
		return err
	}
	c.idleSince = time.Now()
	return nil
}

// closedWhileIdle reports whether the exchange on an idle connection failed because the front end closed
// the connection at the same time.
func (c *client) closedWhileIdle(req *request, err error) bool {
	if errors.Is(err, errNotSent) {
		return true
	}
	return err != nil && !c.killedAround(req, time.Now()) && time.Since(req.sentAt) <= idleCloseRace
}

// record records a request that has ended, with the error of its exchange. A request that was not sent
// completely is not recorded.
func (c *client) record(req *request, err error) {
	if errors.Is(err, errNotSent) {
		return
	}
	if err != nil {
		c.classifyMissingResponse(req, err)
	}
	c.run.history.addRequest(req)
}

// write sends a request, sometimes in two parts, and sets sentAt after the last byte. It reports whether the
// complete request was sent.
func (c *client) write(r *request, text string) bool {
	_ = c.conn.SetDeadline(time.Now().Add(dialTimeout))
	if c.random.IntN(slowWriteOneIn) == 0 {
		cut := 1 + c.random.IntN(len(text)-1)
		if _, err := io.WriteString(c.conn, text[:cut]); err != nil {
			return false
		}
		time.Sleep(c.drawMilliseconds(maxWriteDelayMS))
		text = text[cut:]
	}
	_, err := io.WriteString(c.conn, text)
	r.sentAt = time.Now()
	return err == nil
}

// disconnectEarly closes the connection, in most cases before the response is complete.
func (c *client) disconnectEarly(r *request) {
	time.Sleep(c.drawMilliseconds(maxDisconnectDelayMS))
	r.endedAt = time.Now()
	r.outcome = outcomeDisconnected
	c.disconnect()
}

// drawMilliseconds draws a duration of 0 to limit-1 milliseconds.
func (c *client) drawMilliseconds(limit int) time.Duration {
	return time.Duration(c.random.IntN(limit)) * time.Millisecond
}

// killedAround reports whether the front end was killed between one second before the request was sent
// and the given time.
func (c *client) killedAround(r *request, until time.Time) bool {
	const before = time.Second
	return c.target.killedWithin(r.sentAt.Add(-before), until)
}
