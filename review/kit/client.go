package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// answer is what a client got for one request.
type answer struct {
	id       string
	class    string
	sentAt   time.Time // when the last byte was written
	wait     time.Duration
	status   int // 0: no whole answer
	fault    string
	rows     [][]string
	err      error
	took     time.Duration
	previous int // requests that were answered on this connection before
}

func (a answer) String() string {
	if a.status == 0 {
		return fmt.Sprintf("%s %s: no whole answer after %.3f s (%v)", a.class, a.id, a.took.Seconds(), a.err)
	}
	return fmt.Sprintf("%s %s: %d %s%d rows after %.3f s", a.class, a.id, a.status, a.fault, len(a.rows), a.took.Seconds())
}

// client sends one request at a time on one connection, and connects again when the connection has ended.
type client struct {
	addr     string
	name     string  // in the record
	rec      *record // nil: sent requests are not recorded one by one
	conn     net.Conn
	in       *bufio.Reader
	answered int
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

func (c *client) connect() error {
	if c.conn != nil {
		return nil
	}
	conn, err := net.DialTimeout("tcp", c.addr, 2*time.Second)
	if err != nil {
		return err
	}
	c.conn, c.in, c.answered = conn, bufio.NewReader(conn), 0
	return nil
}

func (c *client) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// call sends a request and waits for its answer until patience has passed since its last byte was written.
func (c *client) call(class, statement, header string, wait, patience time.Duration) (answer, error) {
	return c.callWithID(newID(), class, statement, header, wait, patience)
}

func (c *client) callWithID(id, class, statement, header string, wait, patience time.Duration) (answer, error) {
	a := answer{id: id, class: class, wait: wait}
	if err := c.connect(); err != nil {
		return a, err
	}
	a.previous = c.answered
	text := fmt.Sprintf("POST /rpc/%s HTTP/1.1\r\nHost: backend.local\r\nReq-Id: %s\r\nReq-Wait-Ms: %d\r\n%sContent-Length: %d\r\n\r\n%s",
		class, a.id, wait.Milliseconds(), header, len(statement), statement)
	c.conn.SetDeadline(time.Now().Add(patience))
	if _, err := io.WriteString(c.conn, text); err != nil {
		c.close()
		return a, err
	}
	a.sentAt = time.Now()
	if c.rec != nil {
		c.rec.add("%s  sent %s %s %q", c.name, class, a.id, statement)
	}
	c.conn.SetDeadline(a.sentAt.Add(patience))
	a.err = c.read(&a)
	a.took = time.Since(a.sentAt)
	if a.err != nil {
		a.status = 0
		c.close()
		return a, nil
	}
	c.answered++
	return a, nil
}

func (c *client) read(a *answer) error {
	response, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	var parsed struct {
		Result [][]string `json:"result"`
		Fault  string     `json:"fault"`
	}
	if err := json.Unmarshal(body, &parsed); err != nil {
		return err
	}
	a.status, a.rows = response.StatusCode, parsed.Result
	if parsed.Fault != "" {
		a.fault = parsed.Fault + ", "
	}
	if response.Close {
		c.close()
	}
	return nil
}
