package fake

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
)

// maxStatementLength limits a statement, in bytes. It is higher than the limit of the HTTP front end.
const maxStatementLength = 1 << 20

// LineMessageKind is the keyword of a kind of message from an engine to a front end.
type LineMessageKind string

// The kinds of messages from an engine to a front end.
const (
	MessageProgress LineMessageKind = "TELL"
	MessageResult   LineMessageKind = "DONE" // the first page, with the cost of the request
	MessagePage     LineMessageKind = "MORE" // a further page
	MessageRejected LineMessageKind = "WAIT" // the engine has no capacity
	MessageFailed   LineMessageKind = "BROKE"
)

// LineMessage returns a message about a request. The message has the given fields and body.
func LineMessage(requestID string, kind LineMessageKind, fields, body string) string {
	return fmt.Sprintf("%s %s %s %d\r\n%s\r\n", requestID, kind, fields, len(body), body)
}

// LineRequest is a request of the line protocol as it arrives at an engine.
type LineRequest struct {
	ID        string
	Fields    string // NAME=VALUE, separated by commas
	Statement string
}

// Field returns the value of a field, or "" if the request does not have the field.
func (r LineRequest) Field(name string) string {
	value := ""
	for field := range strings.SplitSeq(r.Fields, ",") {
		if fieldName, fieldValue, _ := strings.Cut(field, "="); fieldName == name {
			value = fieldValue
		}
	}
	return value
}

// LineHandler determines the responses of a fake engine of the line protocol. Its methods are called from the
// goroutines of all connections and must be safe for concurrent use.
type LineHandler interface {
	// Received is called with each request on its arrival, before Handle.
	Received(request LineRequest)
	// Handle executes a request and responds. It runs on a separate goroutine. The context ends when the
	// request is cancelled or its connection ends.
	Handle(ctx context.Context, exchange *LineExchange)
	// Cancelled is called once when a request is cancelled or its connection ends, unless LineExchange.Finish
	// has already ended the request. It must not call methods of the exchange.
	Cancelled(request LineRequest)
	// Page returns a further page of a result. ok is false if the engine does not serve further pages.
	Page(requestID, page string) (text string, ok bool)
}

// ServeLineEngine serves the platform's line protocol on a listener until the listener is closed. Requests
// of one connection run at the same time and do not wait for each other.
func ServeLineEngine(listener net.Listener, handler LineHandler) {
	serveConnections(listener, func(conn net.Conn) {
		(&lineConnection{conn: conn, handler: handler, inFlight: map[string]*LineExchange{}}).serve()
	})
}

// LineExchange is a request in flight, with the methods to respond to it.
type LineExchange struct {
	Request LineRequest

	connection *lineConnection
	cancel     context.CancelFunc
}

// Finish ends the request, calls record and returns true. If the request was already cancelled, Finish does
// nothing and returns false. A cancellation after Finish has no effect. The connection is locked while record
// runs: it sends nothing, and record must not call methods of the exchange.
func (x *LineExchange) Finish(record func()) bool {
	return x.connection.finish(x.Request.ID, func(LineRequest) { record() })
}

// Send sends a message. It ignores write errors, because they mean that the connection has ended.
func (x *LineExchange) Send(message string) { x.connection.send(message) }

// lineConnection is a connection from a front end. One goroutine reads from the connection. Each request in flight
// has a separate goroutine that writes to the connection.
type lineConnection struct {
	conn    net.Conn
	handler LineHandler

	mu       sync.Mutex               // guards writes to conn and the field below
	inFlight map[string]*LineExchange // by request id
}

// serve reads from the connection until the connection ends, and then cancels all requests in flight.
func (c *lineConnection) serve() {
	defer c.end()
	in := bufio.NewReader(c.conn)
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		words := strings.Fields(line)
		switch {
		case len(words) == 4 && words[0] == "want":
			statement, err := readStatement(in, words[3])
			if err != nil {
				return
			}
			c.start(LineRequest{ID: words[1], Fields: words[2], Statement: statement})
		case len(words) == 2 && words[0] == "never_mind":
			c.finish(words[1], c.handler.Cancelled)
		case len(words) == 3 && words[0] == "turn":
			c.sendPage(words[1], words[2])
		}
	}
}

// statementLengthError reports a statement length that is out of range or not a number.
type statementLengthError struct{ word string }

func (e *statementLengthError) Error() string {
	return fmt.Sprintf("statement length %q is not a number from 0 to %d", e.word, maxStatementLength)
}

// readStatement reads the statement that follows a request line, and the CR LF after the statement.
func readStatement(in io.Reader, lengthWord string) (string, error) {
	var length int
	if _, err := fmt.Sscan(lengthWord, &length); err != nil || length < 0 || length > maxStatementLength {
		return "", &statementLengthError{word: lengthWord}
	}
	text := make([]byte, length+len("\r\n"))
	if _, err := io.ReadFull(in, text); err != nil {
		return "", fmt.Errorf("read a statement: %w", err)
	}
	return string(text[:length]), nil
}

func (c *lineConnection) start(request LineRequest) {
	c.handler.Received(request)
	ctx, cancel := context.WithCancel(context.Background())
	exchange := &LineExchange{Request: request, connection: c, cancel: cancel}
	c.mu.Lock()
	c.inFlight[request.ID] = exchange
	c.mu.Unlock()
	go func() {
		defer cancel()
		c.handler.Handle(ctx, exchange)
	}()
}

// finish removes a request from inFlight, cancels its context, calls record with the request and returns
// true. If the request is not in flight, finish returns false.
func (c *lineConnection) finish(id string, record func(LineRequest)) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	exchange, ok := c.inFlight[id]
	if !ok {
		return false
	}
	delete(c.inFlight, id)
	exchange.cancel()
	record(exchange.Request)
	return true
}

// end closes the connection and then cancels the requests in flight. The connection is closed first, because
// a blocked write would otherwise keep mu locked.
func (c *lineConnection) end() {
	_ = c.conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, exchange := range c.inFlight {
		exchange.cancel()
		c.handler.Cancelled(exchange.Request)
	}
	clear(c.inFlight)
}

func (c *lineConnection) sendPage(requestID, page string) {
	if text, ok := c.handler.Page(requestID, page); ok {
		c.send(LineMessage(requestID, MessagePage, "batch="+page, text))
	}
}

func (c *lineConnection) send(message string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, _ = io.WriteString(c.conn, message) // an error means that the connection has ended
}
