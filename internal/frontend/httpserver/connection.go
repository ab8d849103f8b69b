package httpserver

import (
	"time"

	"flaxrelay/internal/engine/lineclient"
	"flaxrelay/internal/eventloop"
	"flaxrelay/internal/frontend/clientconn"
	"flaxrelay/internal/lifecycle"
	"flaxrelay/internal/timerqueue"
)

// maxPendingWrite is how many bytes may wait to be sent to a client. While more wait, the client's requests are not
// read.
const maxPendingWrite = 256 << 10

// connectionState determines what a connection may do next. Every connection starts in stateNew and ends in
// stateClosing.
//
//	state              event                                              next state
//	new, idle, paging  a statement                                        in flight
//	new, idle, paging  a health check, a release, a last or unknown page  idle
//	new, idle, paging  a page after which another one follows             paging
//	in flight          response: complete result, rejection or failure    idle
//	in flight          response: the first of several pages               paging
//	evicting           a request with further bytes after it              evicting
//	new                eviction while bytes of requests are unread        evicting
//	new, idle, paging  closed without a response (closeUnused)            closing
//	all but closing    the last response (writeLast)                      closing
//	all                the client disconnected, or the connection broke   closing
//
// closeUnused closes a connection without unread bytes for one of these reasons: its client sent no first request in
// time, its client was idle for too long, the connection is evicted, or the server shuts down gracefully.
//
// The last response is one of these: the response to an invalid or incomplete request; the response after which the
// client wants the connection closed; or, in an eviction or a graceful shutdown, the response after which nothing is
// outstanding.
//
// A request in flight is abandoned if its client disconnects, or if the bytes after the request can't start another
// one. After each response the next request is read.
type connectionState uint8

const (
	// stateNew: the connection waits for the first request. Connections in this state are evicted first, because their
	// clients have not made a valid request yet.
	stateNew connectionState = iota
	// stateIdle: the connection waits for the next request of a client that has already made a valid one.
	stateIdle
	// statePaging: the last response contained the path of a further page. The connection waits for the next request.
	statePaging
	// stateInFlight: a request waits for the dispatcher's response. No further request is served meanwhile.
	stateInFlight
	// stateEvicting: the requests that had arrived before the connection was evicted are rejected. The connection is
	// closed after the last rejection.
	stateEvicting
	// stateClosing: nothing more is read or written.
	stateClosing
)

// awaitsRequest reports whether the next request may be read.
func (s connectionState) awaitsRequest() bool { return s != stateInFlight && s != stateClosing }

// connection is the connection of one client. It serves one request at a time and ensures that each request has one
// response: only closeUnused closes the connection without a response. A connection must be used from the goroutine of
// the event loop only.
type connection struct {
	server *Server
	socket *eventloop.Conn
	reader requestReader
	state  connectionState

	request    *lifecycle.Request // set in stateInFlight only
	wantsClose bool               // the client wants the connection closed after the response to its latest request
	lastActive time.Duration      // time of the latest request or response, as of Loop.Now
	readTimer  *timerqueue.Timer  // calls onReadTimeout; nil: no time limit on the next request
	// readTimedOut means that the read timer has expired while bytes waited to be handled.
	readTimedOut bool
	// closeReason is the reason why this side closes the connection. It is set together with stateClosing, or in
	// stateEvicting by the first rejection; until then it is closeNone.
	closeReason closeReason
}

// OnData reads requests until one waits for its response.
func (c *connection) OnData(_ *eventloop.Conn, in *eventloop.Buffer) {
	c.reader.begin(in)
	defer c.reader.end()
	for c.state.awaitsRequest() {
		if c.socket.Disconnected() {
			// The client may have sent hundreds of requests before it disconnected: none of them is forwarded.
			c.reader.discardAll()
			return
		}
		if clientconn.PauseUntilFlushed(c.socket, maxPendingWrite) {
			return
		}
		request, complete, err := c.reader.next()
		if err != nil {
			c.reject(err)
			return
		}
		if !complete {
			break
		}
		c.stopReadTimer()
		c.wantsClose = request.wantsClose
		c.lastActive = c.server.loop.Now()
		c.serve(request)
		c.reader.consume()
	}
	c.afterReading()
}

// afterReading handles the unread bytes that OnData leaves in the buffer.
func (c *connection) afterReading() {
	unread := c.reader.unread()
	switch {
	case c.state == stateClosing:
		c.reader.discardAll()
	case c.state == stateInFlight:
		if unread > 0 && !c.reader.canStartRequest() {
			c.abandonRequest()
			c.reject(wrongContentLength())
		}
	case c.state == stateEvicting && unread > 0:
		c.rejectPartial(closeEvicted)
	case c.server.finishing && unread > 0:
		c.rejectPartial(closeShutdown)
	case c.readTimedOut && unread > 0:
		c.rejectTimedOut()
	case c.readTimer == nil && unread > 0: // in stateNew the timer already runs
		c.startReadTimer()
	}
	if c.state == stateInFlight {
		c.socket.LimitReadAhead()
	} else {
		c.socket.LiftReadAheadLimit()
	}
}

// forward passes a valid request to the dispatcher, which may respond before Accept returns.
func (c *connection) forward(request *lifecycle.Request) {
	c.request = request
	c.state = stateInFlight
	c.server.requests.addInFlight(request.ID)
	c.server.dispatcher.Accept(request)
}

// Respond writes the response to the request in flight and resumes reading: the client may have sent further requests.
func (c *connection) Respond(request *lifecycle.Request, response lifecycle.Response) {
	c.request = nil
	c.state = stateIdle
	c.lastActive = c.server.loop.Now()
	c.server.requests.removeInFlight(request.ID)
	switch response.Verdict {
	case lifecycle.VerdictServed:
		rows, _ := response.Result.(lineclient.Rows)
		c.writeResult(rows, request.Deadline)
	case lifecycle.VerdictRejected:
		c.write(rejectedResponse(response.RetryAfter))
	default:
		c.write(failedResponse())
	}
	c.socket.LiftReadAheadLimit()
	if c.state != stateClosing {
		c.socket.Redeliver()
	}
}

// abandonRequest ends the request in flight, if there is one, without a response.
func (c *connection) abandonRequest() {
	if c.state != stateInFlight {
		return
	}
	request := c.request
	c.request = nil
	c.state = stateIdle
	c.server.requests.removeInFlight(request.ID)
	c.server.dispatcher.ClientDisconnected(request)
}

// OnClosed abandons the request of a client that has disconnected.
func (c *connection) OnClosed(_ *eventloop.Conn, err error) {
	c.countClose(err)
	c.readTimer.Stop()
	delete(c.server.connections, c)
	c.abandonRequest()
	c.state = stateClosing
}
