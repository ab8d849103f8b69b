package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// lineRequest is a request that a front end has sent to an engine.
type lineRequest struct {
	id, class, statement string
	fields               map[string]string
}

// lineEngine is a stand-in for an engine of the line protocol.
type lineEngine struct {
	id string
	// serve runs a request and answers it. It runs on a goroutine of its own.
	serve func(e *lineEngine, q lineRequest, conn *lineConn)

	listener net.Listener
	mu       sync.Mutex
	conns    map[*lineConn]bool
}

// lineConn is one connection of a front end.
type lineConn struct {
	net.Conn
	mu    sync.Mutex
	pages map[string][]string // further pages by request
}

func (e *lineEngine) listen(address string) (string, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	e.listener = l
	e.conns = map[*lineConn]bool{}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			c := &lineConn{Conn: conn, pages: map[string][]string{}}
			e.mu.Lock()
			e.conns[c] = true
			e.mu.Unlock()
			go func() {
				e.read(c)
				_ = c.Close()
				e.mu.Lock()
				delete(e.conns, c)
				e.mu.Unlock()
			}()
		}
	}()
	return l.Addr().String(), nil
}

// die ends the engine's process: its listener is gone, and its connections are reset.
func (e *lineEngine) die() {
	_ = e.listener.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	for c := range e.conns {
		reset(c.Conn)
	}
}

func (e *lineEngine) read(c *lineConn) {
	in := bufio.NewReader(c)
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		words := strings.Fields(line)
		switch {
		case len(words) == 4 && words[0] == "want":
			size, err := strconv.Atoi(words[3])
			if err != nil {
				return
			}
			body := make([]byte, size+2)
			if _, err := io.ReadFull(in, body); err != nil {
				return
			}
			q := lineRequest{id: words[1], statement: string(body[:size]), fields: map[string]string{}}
			for _, field := range strings.Split(words[2], ",") {
				name, value, _ := strings.Cut(field, "=")
				q.fields[name] = value
			}
			q.class = q.fields["kind"]
			go e.serve(e, q, c)
		case len(words) == 2 && words[0] == "there":
			c.say(words[1], "FIT", "-", "")
		}
	}
}

// say sends one answer.
func (c *lineConn) say(id, word, fields, body string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, _ = fmt.Fprintf(c.Conn, "%s %s %s %d\r\n%s\r\n", id, word, fields, len(body), body)
}

// httpAnswer is the answer to one call.
type httpAnswer struct {
	status int
	body   string
	close  bool          // the front end closes the connection
	wait   time.Duration // how long the client is told to stay away
}

// httpConn is a client's connection.
type httpConn struct {
	net.Conn
	in *bufio.Reader
}

func dialHTTP(address string) (*httpConn, error) {
	conn, err := net.DialTimeout("tcp", address, 2*time.Second)
	if err != nil {
		return nil, err
	}
	return &httpConn{Conn: conn, in: bufio.NewReader(conn)}, nil
}

// post sends a statement.
func (c *httpConn) post(class, id string, wait time.Duration, statement, more string) error {
	_, err := fmt.Fprintf(c, "POST /rpc/%s HTTP/1.1\r\nHost: backend.local\r\nReq-Id: %s\r\nReq-Wait-Ms: %d\r\n%s"+
		"Content-Length: %d\r\n\r\n%s", class, id, wait.Milliseconds(), more, len(statement), statement)
	return err
}

// answer reads one answer.
func (c *httpConn) answer(timeout time.Duration) (a httpAnswer, err error) {
	_ = c.SetReadDeadline(time.Now().Add(timeout))
	line, err := c.in.ReadString('\n')
	if err != nil {
		return a, err
	}
	words := strings.SplitN(line, " ", 3)
	if len(words) < 2 {
		return a, fmt.Errorf("no answer: %q", line)
	}
	a.status, _ = strconv.Atoi(words[1])
	size := 0
	for {
		line, err = c.in.ReadString('\n')
		if err != nil {
			return a, err
		}
		line = strings.TrimSpace(line)
		if line == "" {
			break
		}
		name, value, _ := strings.Cut(line, ":")
		value = strings.TrimSpace(value)
		switch strings.ToLower(name) {
		case "content-length":
			size, _ = strconv.Atoi(value)
		case "srv-wait-ms":
			ms, _ := strconv.Atoi(value)
			a.wait = time.Duration(ms) * time.Millisecond
		case "connection":
			a.close = strings.EqualFold(value, "close")
		}
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(c.in, body); err != nil {
		return a, err
	}
	a.body = string(body)
	return a, nil
}

func (a httpAnswer) served() bool { return a.status == 200 && !strings.Contains(a.body, `"fault"`) }
