package fake

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"sync"
	"time"
)

// maxStatementLength bounds a statement, as the front end's own limit does.
const maxStatementLength = 1 << 20

// progressReports is in how many parts an engine does its work; it reports its progress after
// each but the last.
const progressReports = 4

// ServeLineProtocol serves the platform's line protocol on a listener until that is closed: an engine
// that answers each statement, after reports of its progress, with rows that repeat the request.
// The statements run at the same time and don't wait for each other.
func ServeLineProtocol(listener net.Listener, work Work, log *slog.Logger) {
	serveConnections(listener, func(conn net.Conn) {
		(&lineConnection{conn: conn, work: work, log: log, running: map[string]context.CancelFunc{}}).serve()
	})
}

// lineConnection is one connection of a front end.
type lineConnection struct {
	conn net.Conn
	work Work
	log  *slog.Logger

	mu      sync.Mutex // guards writes to conn, and running
	running map[string]context.CancelFunc
}

func (c *lineConnection) serve() {
	defer c.cancelAll() // the end of the connection cancels all that is in flight on it
	in := bufio.NewReader(c.conn)
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		words := strings.Fields(line)
		switch {
		case len(words) == 4 && words[0] == "want":
			statement, ok := readStatement(in, words[3])
			if !ok {
				return
			}
			c.start(words[1], words[2], statement)
		case len(words) == 2 && words[0] == "never_mind":
			c.cancel(words[1])
		}
	}
}

// readStatement reads the statement behind a request line, and the CR LF behind it.
func readStatement(in io.Reader, lengthWord string) (statement string, ok bool) {
	var length int
	if _, err := fmt.Sscan(lengthWord, &length); err != nil || length < 0 || length > maxStatementLength {
		return "", false
	}
	text := make([]byte, length+len("\r\n"))
	if _, err := io.ReadFull(in, text); err != nil {
		return "", false
	}
	return string(text[:length]), true
}

func (c *lineConnection) start(id, fields, statement string) {
	c.log.Info("request received", "id", id, "fields", fields, "statement", abbreviate(statement))
	ctx, cancel := context.WithCancel(context.Background())
	c.mu.Lock()
	c.running[id] = cancel
	c.mu.Unlock()
	go func() {
		defer cancel()
		c.run(ctx, id, fields, statement)
	}()
}

// run does the work of a statement and answers it, unless it is cancelled.
func (c *lineConnection) run(ctx context.Context, id, fields, statement string) {
	took, memoryMB := c.work(statement)
	for part := 1; part <= progressReports; part++ {
		select {
		case <-ctx.Done():
			c.log.Info("request cancelled", "id", id)
			return
		case <-time.After(took / progressReports):
		}
		if part < progressReports {
			c.write("%s TELL res=p,num=%.2f 0\r\n\r\n", id, float64(part)/progressReports)
		}
	}
	oneLine := strings.NewReplacer("\t", " ", "\n", " ", "\r", " ").Replace(statement)
	page := fmt.Sprintf("fields\t%s\ttoy\nstatement\t%s\ttoy\n", fields, oneLine)
	c.write("%s DONE batches=1,cpu=%d,used=%.0f,gauges=util:0.1;queue:0;x1:0;x0:0 %d\r\n%s\r\n",
		id, took.Milliseconds(), memoryMB, len(page), page)
	c.cancel(id)
}

// cancel ends one statement.
func (c *lineConnection) cancel(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if cancel, ok := c.running[id]; ok {
		cancel()
		delete(c.running, id)
	}
}

func (c *lineConnection) cancelAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, cancel := range c.running {
		cancel()
	}
	clear(c.running)
}

func (c *lineConnection) write(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, _ = fmt.Fprintf(c.conn, format, args...) // a connection that has ended needs no answer
}
