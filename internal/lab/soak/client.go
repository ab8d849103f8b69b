package soak

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	dialTimeout = time.Second
	// idleCrossing is how close a request and the end of its resting connection may be for
	// the client to send it again.
	idleCrossing = 50 * time.Millisecond
	// clientIdleTime is after how long a client closes a resting connection.
	clientIdleTime = 4 * time.Second
	maxPause       = 120 * time.Millisecond
	maxPages       = 8
)

// client sends requests one after the other, like the usual clients of the platform, some of
// them slowly, some leaving early.
type client struct {
	run    *run
	number int
	random *rand.Rand
	sent   int

	conn     net.Conn // nil: none rests
	in       *bufio.Reader
	target   *frontEnd
	restedAt time.Time
}

// serve sends requests until the run has ended.
func (c *client) serve(stop <-chan struct{}) {
	defer c.drop()
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(c.random.Int64N(int64(maxPause)))):
		}
		if c.conn != nil && (time.Since(c.restedAt) > clientIdleTime || !c.target.usable(time.Now())) {
			c.drop()
		}
		switch c.random.IntN(40) {
		case 0:
			c.misbehave()
		default:
			c.play()
		}
	}
}

func (c *client) drop() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// connect opens a connection to a front end that takes new ones.
func (c *client) connect() bool {
	target := c.run.pick(c.random)
	if target == nil {
		return false
	}
	conn, err := net.DialTimeout("tcp", target.addr, dialTimeout)
	if err != nil {
		return false // nothing was accepted
	}
	c.conn, c.in, c.target = conn, bufio.NewReader(conn), target
	return true
}

// newRequest draws a request, and the text that is sent for it.
func (c *client) newRequest() (*request, string) {
	c.sent++
	id := fmt.Sprintf("%04x%04x%08x", c.run.options.Seed&0xffff, c.number, c.sent)
	r := &request{id: id, class: classes[c.random.IntN(len(classes))], wait: time.Duration(300+c.random.IntN(1200)) * time.Millisecond}
	statement := "SELECT day FROM sales_17.orders WHERE tag = '" + id + "'"
	key := ""
	if r.class == classLoad {
		key = "Req-Token: " + id + "\r\n"
	}
	return r, fmt.Sprintf("POST /rpc/%s HTTP/1.1\r\nHost: backend.local\r\nReq-Id: %s\r\nReq-Wait-Ms: %d\r\n%sContent-Length: %d\r\n\r\n%s",
		r.class, id, r.wait.Milliseconds(), key, len(statement), statement)
}

// play sends one request and follows it to its end.
func (c *client) play() {
	r, text := c.newRequest()
	for resent := false; ; resent = true {
		fresh := c.conn == nil
		if fresh && !c.connect() {
			return
		}
		r.frontEnd = c.target.name
		if !c.write(r, text) {
			c.drop()
			if fresh || resent {
				return // it was never sent completely
			}
			continue
		}
		if c.random.IntN(20) == 0 {
			c.leave(r)
			return
		}
		err := c.receive(r)
		if err == nil {
			c.restedAt = time.Now()
			c.run.history.addRequest(r)
			return
		}
		c.drop()
		killed := c.target.killedWithin(r.sentAt.Add(-time.Second), time.Now())
		if !fresh && !resent && !killed && time.Since(r.sentAt) <= idleCrossing {
			continue // it crossed the close of a resting connection
		}
		c.explain(r, err, fresh)
		c.run.history.addRequest(r)
		return
	}
}

// write sends a request, in pieces for some, and notes when its last byte was written.
func (c *client) write(r *request, text string) bool {
	_ = c.conn.SetDeadline(time.Now().Add(dialTimeout))
	if c.random.IntN(8) == 0 {
		cut := 1 + c.random.IntN(len(text)-1)
		if _, err := io.WriteString(c.conn, text[:cut]); err != nil {
			return false
		}
		time.Sleep(time.Duration(c.random.IntN(60)) * time.Millisecond)
		text = text[cut:]
	}
	_, err := io.WriteString(c.conn, text)
	r.sentAt = time.Now()
	return err == nil
}

// leave closes the connection before the answer can be complete.
func (c *client) leave(r *request) {
	time.Sleep(time.Duration(c.random.IntN(50)) * time.Millisecond)
	r.endedAt, r.outcome = time.Now(), outcomeLeft
	c.drop()
	c.run.history.addRequest(r)
}

// answerBody is the JSON object of an answer.
type answerBody struct {
	More   string     `json:"more"`
	Result [][]string `json:"result"`
	Fault  string     `json:"fault"`
}

var errTooManyPages = errors.New("more pages than the result has")

// receive reads the answer with all of its pages and sets the outcome. After an error there is
// no whole answer.
func (c *client) receive(r *request) error {
	if err := c.conn.SetDeadline(r.sentAt.Add(r.wait + answerSlack)); err != nil {
		return err
	}
	var rows [][]string
	for range maxPages {
		response, err := http.ReadResponse(c.in, nil)
		if err != nil {
			return err
		}
		text, err := io.ReadAll(response.Body)
		if err != nil {
			return err
		}
		_ = response.Body.Close()
		var body answerBody
		if err := json.Unmarshal(text, &body); err != nil {
			return fmt.Errorf("answer %q: %w", text, err)
		}
		rows = append(rows, body.Result...)
		closes := response.Close || strings.EqualFold(response.Header.Get("Connection"), "close")
		if body.More == "" {
			c.judge(r, response, body, rows)
			if closes {
				c.drop()
			}
			return nil
		}
		if _, err := fmt.Fprintf(c.conn, "GET %s HTTP/1.1\r\n\r\n", body.More); err != nil {
			return err
		}
	}
	return errTooManyPages
}

// judge sets the outcome of a whole answer.
func (c *client) judge(r *request, response *http.Response, body answerBody, rows [][]string) {
	r.endedAt = time.Now()
	switch {
	case response.StatusCode == http.StatusOK && body.Fault == "":
		r.outcome = outcomeServed
		if detail := checkRows(r.id, rows); detail != "" {
			c.run.history.violate(Violation{Rule: ruleWholeAnswer, Request: r.id, Detail: detail})
		}
	case response.StatusCode == http.StatusServiceUnavailable, response.StatusCode == http.StatusTooManyRequests, body.Fault == "Busy":
		r.outcome = outcomeRejected
		if c.run.site.retryAfter && response.Header.Get("Srv-Wait-Ms") == "" {
			c.run.history.violate(Violation{Rule: ruleRetryAfter, Request: r.id, Detail: "rejected without a time to come back"})
		}
	default:
		r.outcome, r.detail = outcomeFailed, response.Status
	}
}

// checkRows compares the rows with what an engine makes for the request; "" where they agree.
func checkRows(id string, rows [][]string) string {
	if len(rows) != pageCount(id) {
		return fmt.Sprintf("%d rows of %d", len(rows), pageCount(id))
	}
	for i, row := range rows {
		if len(row) != 3 || row[0] != id || row[1] != strconv.Itoa(i) {
			return fmt.Sprintf("row %d is %q", i, row)
		}
	}
	return ""
}

// explain sets the outcome of a request without a whole answer.
func (c *client) explain(r *request, err error, fresh bool) {
	r.endedAt = time.Now()
	if c.target.killedWithin(r.sentAt.Add(-time.Second), r.endedAt) {
		r.outcome = outcomeExcused
		return
	}
	r.outcome = outcomeLost
	r.detail = fmt.Sprintf("%v after %v of %v, new connection: %v", err, r.endedAt.Sub(r.sentAt).Round(time.Millisecond), r.wait, fresh)
}

// misbehave plays a bad client. Such a client is owed an answer or a close, and nothing more.
func (c *client) misbehave() {
	const owedWithin = 4 * time.Second // 3 s by the rules, and slack for a busy machine
	target := c.run.pick(c.random)
	if target == nil {
		return
	}
	conn, err := net.DialTimeout("tcp", target.addr, dialTimeout)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	startedAt := time.Now()
	_ = conn.SetDeadline(startedAt.Add(owedWithin))
	id := fmt.Sprintf("ffff%04x%08x", c.number, c.sent)
	texts := []string{
		"hello\r\n\r\n",
		"POST /rpc/lookup HTTP/1.1\r\nContent-Length: -5\r\n\r\n",
		"POST /rpc/lookup HTTP/1.1\r\nReq-Id: " + id + "\r\nReq-Wait-Ms: NaN\r\nContent-Length: 1\r\n\r\nx",
		"POST /rpc/nowhere HTTP/1.1\r\nReq-Id: " + id + "\r\nReq-Wait-Ms: 100\r\nContent-Length: 1\r\n\r\nx",
		"GET /" + strings.Repeat("x", 40000),
		"POST /rpc/lookup HTTP/1.1\r\nReq-Id: " + id + "\r\nContent-Le", // half of one
		"", // silence
	}
	if _, err := io.WriteString(conn, texts[c.random.IntN(len(texts))]); err != nil {
		return // closed already
	}
	_, err = io.Copy(io.Discard, conn)
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() && !target.killedWithin(startedAt, time.Now()) {
		c.run.history.violate(Violation{Rule: ruleBadClient, Detail: fmt.Sprintf("%s: nothing within %v", target.name, owedWithin)})
	}
}
