package main

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// run is one request that an engine began to execute.
type run struct {
	engine    string
	id        string
	fields    string
	statement string
	at        time.Time
}

// engine is a stand-in for an engine. It speaks the line protocol, executes every statement that begins with SELECT
// or INSERT, and answers BROKE to all others, as to a request that it can't use.
type engine struct {
	name     string
	uid      uint32
	listener net.Listener
	rec      *record
	work     func(class string) time.Duration

	// copyEach makes the engine send a second copy of each copyEach-th good answer, copyDelay after the first; 0: none.
	copyEach  int
	copyDelay time.Duration

	mu   sync.Mutex
	runs []run
	open int // requests that it holds
	good int // good answers so far
}

func startEngine(rec *record, name string, uid uint32, work func(string) time.Duration) (*engine, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &engine{name: name, uid: uid, listener: listener, rec: rec, work: work}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go e.serve(conn)
		}
	}()
	return e, nil
}

func (e *engine) addr() string { return e.listener.Addr().String() }

// engineConn is one connection of a front end to an engine.
type engineConn struct {
	conn net.Conn
	mu   sync.Mutex
	open map[string]chan struct{} // closed when the request is given up
}

func (c *engineConn) send(text string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conn.SetWriteDeadline(time.Now().Add(5 * time.Second))
	io.WriteString(c.conn, text)
}

func (c *engineConn) giveUp(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if stop, ok := c.open[id]; ok {
		close(stop)
		delete(c.open, id)
	}
}

func (e *engine) serve(conn net.Conn) {
	c := &engineConn{conn: conn, open: map[string]chan struct{}{}}
	defer func() {
		conn.Close()
		c.mu.Lock()
		defer c.mu.Unlock()
		for _, stop := range c.open {
			close(stop)
		}
		c.open = map[string]chan struct{}{}
	}()
	in := bufio.NewReaderSize(conn, 64<<10)
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		words := strings.Fields(line)
		switch {
		case len(words) == 4 && words[0] == "want":
			length, err := strconv.Atoi(words[3])
			if err != nil || length < 0 || length > 1<<20 {
				return
			}
			body := make([]byte, length+2)
			if _, err := io.ReadFull(in, body); err != nil {
				return
			}
			e.begin(c, run{engine: e.name, id: words[1], fields: words[2], statement: string(body[:length]), at: time.Now()})
		case len(words) == 2 && words[0] == "never_mind":
			c.giveUp(words[1])
		case len(words) == 2 && words[0] == "there":
			c.send(words[1] + " FIT - 0\r\n\r\n")
		case len(words) == 3 && (words[0] == "hurry" || words[0] == "turn"), len(words) == 2 && words[0] == "shut":
		default:
			return // an engine closes on what it can't read
		}
	}
}

func field(fields, name string) string {
	for _, pair := range strings.Split(fields, ",") {
		if key, value, _ := strings.Cut(pair, "="); key == name {
			return value
		}
	}
	return ""
}

// result returns the only page of the result of a statement. It names the statement by its hash.
func result(id, statement string) string {
	return fmt.Sprintf("%s\t%s\tend\n", id, statementHash(statement))
}

func statementHash(statement string) string {
	sum := sha256.Sum256([]byte(statement))
	return hex.EncodeToString(sum[:8])
}

func (e *engine) begin(c *engineConn, r run) {
	stop := make(chan struct{})
	c.mu.Lock()
	c.open[r.id] = stop
	c.mu.Unlock()
	shown := r.statement
	if len(shown) > 60 {
		shown = fmt.Sprintf("%s... (%d bytes)", shown[:24], len(shown))
	}
	e.rec.add("engine %s  want %s %s  %q", e.name, r.id, r.fields, shown)
	if !strings.HasPrefix(r.statement, "SELECT") && !strings.HasPrefix(r.statement, "INSERT") {
		c.giveUp(r.id)
		c.send(r.id + " BROKE - 0\r\n\r\n")
		return
	}
	e.mu.Lock()
	e.runs = append(e.runs, r)
	e.open++
	e.mu.Unlock()
	go func() {
		defer func() {
			e.mu.Lock()
			e.open--
			e.mu.Unlock()
		}()
		work := e.work(field(r.fields, "kind"))
		done := time.After(work)
		note := time.NewTicker(time.Second)
		defer note.Stop()
		for began := time.Now(); ; {
			select {
			case <-stop:
				return
			case <-note.C:
				c.send(fmt.Sprintf("%s TELL res=p,num=%.2f 0\r\n\r\n", r.id, min(float64(time.Since(began))/float64(work), 0.99)))
				continue
			case <-done:
			}
			break
		}
		e.mu.Lock()
		open := e.open
		e.good++
		again := e.copyEach > 0 && e.good%e.copyEach == 0
		e.mu.Unlock()
		c.mu.Lock()
		_, still := c.open[r.id]
		delete(c.open, r.id)
		c.mu.Unlock()
		if !still {
			return
		}
		page := result(r.id, r.statement)
		good := fmt.Sprintf("%s DONE batches=1,cpu=%d,used=40,gauges=waiting:0;active:%d;x0:0.20;x1:0.10 %d\r\n%s\r\n",
			r.id, work.Milliseconds(), open, len(page), page)
		c.send(good)
		if again {
			time.Sleep(e.copyDelay)
			e.rec.add("engine %s  second copy of the answer to %s", e.name, r.id)
			c.send(good)
		}
	}()
}
