package pgserver

import (
	"errors"

	"flaxrelay/internal/eventloop"
	"flaxrelay/internal/frontend/clientconn"
	"flaxrelay/internal/lifecycle"
	"flaxrelay/internal/metrics"
	"flaxrelay/internal/pgproto"
	"flaxrelay/internal/timerqueue"
)

const (
	// maxMessage is the largest message that is read from a client, in bytes.
	maxMessage = 1 << 20
	// maxUnread is how many unread bytes of a client are buffered: one message and some of the bytes after it.
	maxUnread = maxMessage + 64<<10
	// maxPendingWrite is how many bytes may wait to be sent to a client. While more wait, none of its messages are
	// read.
	maxPendingWrite = 1 << 20
	// maxGatheredOutput is how many bytes of responses are gathered before they are written. Responses to several
	// messages are written together, and PauseUntilFlushed does not count what is not written yet.
	maxGatheredOutput = 64 << 10
)

// connectionState determines which messages a connection serves next. Every connection starts in stateStartup and ends
// in stateClosing.
//
//	state     -> next state  event
//	startup   -> startup     request for encryption: declined with one byte
//	startup   -> ready       startup packet of a client that is admitted
//	startup   -> closing     CancelRequest, client not admitted, timeout
//	ready     -> ready       message that is served without an engine, or error in a Query
//	ready     -> in flight   message whose request is forwarded
//	ready     -> skipping    error in a message that is not a Query
//	in flight -> ready       response to a Query, or CancelRequest for a Query
//	in flight -> ready       result for a message of the extended query protocol
//	in flight -> skipping    error or CancelRequest for a message of the extended query protocol
//	skipping  -> ready       Sync
//	skipping  -> skipping    any other message, which is ignored
//	ready, skipping          -> closing  Terminate
//	startup, ready, skipping -> closing  malformed message, or one that stays incomplete or is refused
//	any                      -> closing  client disconnected
//
// A graceful shutdown closes the connection at once, or after the next ReadyForQuery if a request is in flight.
type connectionState uint8

const (
	// stateStartup: the startup packet has not been read completely.
	stateStartup connectionState = iota
	// stateReady: the next message is served as soon as it is complete.
	stateReady
	// stateInFlight: the message being served waits for the response to its request.
	stateInFlight
	// stateSkipping: messages up to the next Sync are ignored, since an error was sent.
	stateSkipping
	// stateClosing: nothing more is read or written.
	stateClosing
)

// awaitsMessage reports whether the next message may be served.
func (s connectionState) awaitsMessage() bool { return s != stateInFlight && s != stateClosing }

// connection is the connection of one client. It owns the socket and the state of the protocol, and passes each message
// to its handler: startupPhase, simpleQuery or extendedQuery. A handler reads the message and writes the complete
// response to the output. Instead it may return an error, which the connection sends, or an execution, which the
// connection forwards.
//
// A connection must be used from the goroutine of the event loop only.
type connection struct {
	server   *Server
	socket   *eventloop.Conn
	state    connectionState
	key      cancelKey
	settings sessionSettings

	startup  *startupPhase // nil once the session has begun
	simple   simpleQuery
	extended extendedQuery

	output     messageWriter
	memory     sessionMemory
	stallTimer *timerqueue.Timer // calls onStall; nil unless the rest of a message is awaited

	// The request in flight and its execution; both are nil except in stateInFlight.
	request   *lifecycle.Request
	execution *execution
}

func newConnection(server *Server, socket *eventloop.Conn, processID uint32) *connection {
	c := &connection{
		server:  server,
		socket:  socket,
		key:     cancelKey{processID: processID},
		startup: &startupPhase{},
		memory:  sessionMemory{budget: &server.statementBudget},
	}
	c.simple = simpleQuery{server: server, settings: &c.settings, output: &c.output, memory: &c.memory}
	c.extended = extendedQuery{
		server:     server,
		output:     &c.output,
		statements: map[string]*statement{},
		portals:    portalSet{byName: map[string]*portal{}, budget: &server.rowBudget, memory: &c.memory},
		memory:     &c.memory,
	}
	return c
}

// OnData serves messages until one waits for its response.
func (c *connection) OnData(_ *eventloop.Conn, in *eventloop.Buffer) {
	for c.state.awaitsMessage() {
		if c.socket.Disconnected() {
			// Requests of a disconnected client are not accepted.
			in.Consume(in.Len())
			return
		}
		if c.output.size() >= maxGatheredOutput {
			c.flush()
		}
		if clientconn.PauseUntilFlushed(c.socket, maxPendingWrite) {
			break
		}
		size, err := c.serveNext(in.Bytes())
		if err != nil {
			c.rejectMalformed(err)
			return
		}
		if size == 0 {
			break
		}
		in.Consume(size)
	}
	c.stopStallTimer()
	if in.Len() > 0 && c.awaitsClient() {
		c.startStallTimer()
	}
	if c.state == stateInFlight {
		c.socket.LimitReadAhead()
	} else {
		c.socket.LiftReadAheadLimit()
	}
	c.flush()
}

// serveNext serves the first message of the input and returns its size, or 0 while it is incomplete or can't be served
// yet.
func (c *connection) serveNext(input []byte) (size int, err error) {
	if c.state == stateStartup {
		return c.serveStartupMessage(input)
	}
	return c.serveSessionMessage(input)
}

// sendReady sends the ReadyForQuery that ends the startup or the response to a Query or a Sync. In a graceful shutdown
// it also closes the connection.
func (c *connection) sendReady() {
	c.output.message(pgproto.ServerReadyForQuery, []byte{pgproto.TransactionIdle})
	if c.server.draining {
		c.fatal(errShuttingDown())
	}
}

// flush writes the output to the socket, or drops it in stateClosing.
func (c *connection) flush() {
	if c.state == stateClosing {
		c.output.discard()
		return
	}
	c.output.flushTo(c.socket)
}

// awaitsClient reports whether the connection waits only for further bytes from the client.
func (c *connection) awaitsClient() bool {
	return c.state.awaitsMessage() && c.socket.PendingWrite() <= maxPendingWrite
}

// rejectMalformed sends an ErrorResponse for input that can't be decoded, and closes the connection.
func (c *connection) rejectMalformed(err error) {
	c.server.counters.Increment(metrics.PostgresMalformed)
	var failure *pgproto.Error
	if !errors.As(err, &failure) {
		failure = newError(codeProtocolViolation, "%v", err)
	}
	c.fatal(failure)
}

// fatal sends a final ErrorResponse and closes the connection.
func (c *connection) fatal(failure *pgproto.Error) {
	if c.state == stateClosing {
		return
	}
	failure.Severity = "FATAL"
	c.output.errorResponse(failure)
	c.flush()
	c.close()
}

// close closes the connection from this side, once all written bytes are sent.
func (c *connection) close() {
	c.state = stateClosing
	c.stopStallTimer()
	c.socket.Close()
}

// OnClosed abandons the request of a client that has disconnected. Unread messages of the client are dropped with the
// connection.
func (c *connection) OnClosed(_ *eventloop.Conn, _ error) {
	request, _ := c.endRequest()
	c.state = stateClosing
	c.stopStallTimer()
	delete(c.server.connections, c.key.processID)
	c.extended.portals.closeAll()
	c.memory.releaseAll()
	if request != nil {
		c.server.dispatcher.ClientDisconnected(request)
	}
}
