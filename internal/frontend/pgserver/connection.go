package pgserver

import (
	"errors"
	"time"

	"flaxrelay/internal/eventloop"
	"flaxrelay/internal/frontend/clientconn"
	"flaxrelay/internal/lifecycle"
	"flaxrelay/internal/pgproto"
	"flaxrelay/internal/timerqueue"
)

const (
	maxMessage = 1 << 20
	maxUnread  = maxMessage + 64<<10
	// stallTimeout is how long a client may send nothing within a message.
	stallTimeout = 2 * time.Second
	// maxPendingWrite is how many bytes may wait to be sent to a client before no more
	// of its messages are read.
	maxPendingWrite = 1 << 20
	// maxIdleOutput is the largest output buffer that is kept for the next messages.
	maxIdleOutput = 64 << 10
)

// connectionState is the state of a connection in the protocol.
type connectionState uint8

const (
	// stateStartup has not sent a complete startup packet.
	stateStartup connectionState = iota
	// stateReady awaits the next message.
	stateReady
	// stateInFlight has a request that the dispatcher has not answered.
	stateInFlight
	// stateSkipping ignores messages up to the next Sync, as an error was sent.
	stateSkipping
	// stateClosing reads and writes nothing more.
	stateClosing
)

// connection is the connection of one client. It belongs to the goroutine of the event
// loop.
type connection struct {
	server    *Server
	socket    *eventloop.Conn
	state     connectionState
	processID uint32  // names the connection in a CancelRequest
	secretKey [4]byte // that a CancelRequest must have

	statementTimeout time.Duration // as the client set it; 0: the deadline of the class
	statements       map[string]*statement
	portals          map[string]*portal
	// deferredDescribe is the portal whose description waits for the next message: an
	// Execute brings it.
	deferredDescribe *portal
	simpleQuery      bool // the message being served is a Query

	output     []byte            // messages not yet written
	stallTimer *timerqueue.Timer // closes a connection that stops within a message

	// Both are set in stateInFlight alone.
	request  *lifecycle.Request
	onServed func(*pgproto.Result) // continues the message that made the request
}

// awaitsMessage reports whether the next message may be read.
func (c *connection) awaitsMessage() bool {
	return c.state != stateInFlight && c.state != stateClosing
}

// OnData reads messages until one waits for its response.
func (c *connection) OnData(_ *eventloop.Conn, in *eventloop.Buffer) {
	for c.awaitsMessage() {
		if c.socket.Disconnected() { // nothing is accepted of a client that has left
			in.Consume(in.Len())
			return
		}
		if clientconn.PauseUntilFlushed(c.socket, maxPendingWrite) {
			break
		}
		size, err := c.readMessage(in.Bytes())
		if err != nil {
			c.rejectMalformed(err)
			return
		}
		if size == 0 {
			break
		}
		in.Consume(size)
	}
	c.restartStallTimer(in.Len() > 0)
	c.socket.LimitReadAhead(c.state == stateInFlight)
	c.flush()
}

// readMessage serves the first message of the input and returns its size, or 0 while it
// is incomplete or can't be served yet.
func (c *connection) readMessage(input []byte) (size int, err error) {
	if c.state == stateStartup {
		return c.readStartup(input)
	}
	return c.readTyped(input)
}

// rejectMalformed ends a connection whose input can't be read.
func (c *connection) rejectMalformed(err error) {
	c.server.counters.IncrementByName("postgres.malformed")
	var response *pgproto.Error
	if !errors.As(err, &response) {
		response = newError(codeProtocolViolation, "%v", err)
	}
	c.fatal(response)
}

// restartStallTimer bounds the wait for the rest of a message, where a part of one is
// here and nothing else delays its reading.
func (c *connection) restartStallTimer(partial bool) {
	c.stallTimer.Stop()
	if !partial || !c.awaitsMessage() || c.socket.PendingWrite() > maxPendingWrite {
		return
	}
	c.stallTimer = c.server.loop.Timers.Schedule(c.server.loop.Now()+stallTimeout, func() {
		c.server.counters.IncrementByName("postgres.stalled")
		c.fatal(newError(codeProtocolViolation, "a message stopped in the middle"))
	})
}

// send appends a message to the output, which flush writes.
func (c *connection) send(kind byte, body ...[]byte) {
	c.output = pgproto.AppendMessage(c.output, kind, body...)
}

// flush writes the output.
func (c *connection) flush() {
	if len(c.output) > 0 && c.state != stateClosing {
		c.socket.Write(c.output)
	}
	c.output = c.output[:0]
	if cap(c.output) > maxIdleOutput {
		c.output = nil
	}
}

// sendReady ends the answer to a Query or a Sync, and the connection in a shutdown.
func (c *connection) sendReady() {
	c.send(pgproto.ServerReadyForQuery, []byte{pgproto.TransactionIdle})
	if c.server.draining {
		c.fatal(errShuttingDown())
	}
}

// sendError sends the one ErrorResponse of a message. After a Query the client may go
// on; otherwise what follows is skipped up to the next Sync.
func (c *connection) sendError(e *pgproto.Error) {
	c.server.counters.IncrementByName("postgres.errors." + e.Code)
	c.send(pgproto.ServerErrorResponse, e.Body())
	if c.simpleQuery {
		c.endSimpleQuery()
		return
	}
	c.state = stateSkipping
}

// fatal sends a last ErrorResponse and closes the connection.
func (c *connection) fatal(e *pgproto.Error) {
	if c.state == stateClosing {
		return
	}
	e.Severity = "FATAL"
	c.send(pgproto.ServerErrorResponse, e.Body())
	c.flush()
	c.closeNow()
}

// closeNow closes the connection from this side once what was written has been sent.
func (c *connection) closeNow() {
	c.state = stateClosing
	c.socket.Close()
}

// OnClosed abandons the request of a client that has disconnected. What the client sent
// ahead is dropped with the connection.
func (c *connection) OnClosed(_ *eventloop.Conn, _ error) {
	request := c.request
	c.endRequest()
	c.state = stateClosing
	c.stallTimer.Stop()
	delete(c.server.connections, c.processID)
	c.dropPortals()
	if request != nil {
		c.server.dispatcher.ClientDisconnected(request)
	}
}
