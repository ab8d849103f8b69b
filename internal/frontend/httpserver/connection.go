package httpserver

import (
	"net/http"
	"time"

	"flaxrelay/internal/engine/lineclient"
	"flaxrelay/internal/eventloop"
	"flaxrelay/internal/frontend/clientconn"
	"flaxrelay/internal/lifecycle"
	"flaxrelay/internal/metrics"
	"flaxrelay/internal/timerqueue"
)

// maxPendingWrite is how many bytes of responses may wait to be sent to a client before no more of its requests
// are read.
const maxPendingWrite = 256 << 10

// connectionState is the state of a connection with regard to its client's requests. Every connection begins in
// stateNew and ends in stateClosing.
//
//	state              event                                              next state
//	new, idle, paging  a statement                                        in flight
//	new, idle, paging  a health check, a release, a last or unknown page  idle
//	new, idle, paging  a page that names a further one                    paging
//	in flight          response: complete result, rejection or failure    idle
//	in flight          response: the first of several pages               paging
//	evicting           a request with further bytes after it              evicting
//	new                eviction after a part of a request has arrived     evicting
//	new, idle, paging  closed without a response (closeUnused)            closing
//	all but closing    the last response (writeLast)                      closing
//	all                the client disconnected, or the connection broke   closing
//
// closeUnused closes connections on which nothing has arrived: of clients that send no first request in time, that are
// idle for too long or are evicted, and in a graceful shutdown. The last response is the one to an invalid or
// incomplete request, the one after which the client wants the close, and in eviction and graceful shutdown the one
// after which nothing is outstanding.
//
// A request that is in flight when its client disconnects, or when bytes that can't be a request follow it, is
// withdrawn from the dispatcher. After each response the next request is read from the bytes that have arrived.
type connectionState uint8

const (
	// stateNew awaits the first request. Its client has not shown yet that it makes valid ones: eviction closes
	// connections in this state first.
	stateNew connectionState = iota
	// stateIdle awaits the next request of a client that has made a valid one.
	stateIdle
	// statePaging awaits the next request, and the latest response named a further page of its result.
	statePaging
	// stateInFlight has a request whose response the dispatcher has not given yet. Nothing more is served
	// meanwhile.
	stateInFlight
	// stateEvicting rejects the requests that had arrived before the connection was evicted, and closes it after
	// the last response.
	stateEvicting
	// stateClosing reads and writes nothing more.
	stateClosing
)

// awaitsRequest reports whether the next request may be read.
func (s connectionState) awaitsRequest() bool { return s != stateInFlight && s != stateClosing }

// connection is the connection of one client. It serves one request after the other and guards that each has one
// response: only closeUnused closes it without one. It belongs to the goroutine of the event loop.
type connection struct {
	server *Server
	socket *eventloop.Conn
	reader requestReader
	state  connectionState

	request    *lifecycle.Request // set in stateInFlight alone
	wantsClose bool               // the client wants the close after the response to its latest request
	lastActive time.Duration      // time of the latest request or response, as of Loop.Now
	readTimer  *timerqueue.Timer  // calls onReadTimeout; nil: no time limit on the next request
	// closeReason says why this side closes the connection. Only in stateClosing, and in stateEvicting after the
	// first rejection, it is not closeNone.
	closeReason closeReason
}

// OnData reads requests until one waits for its response.
func (c *connection) OnData(_ *eventloop.Conn, in *eventloop.Buffer) {
	c.reader.begin(in)
	defer c.reader.end()
	for c.state.awaitsRequest() {
		if c.socket.Disconnected() {
			// Hundreds of its requests may have arrived: none is forwarded.
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
		c.readTimer.Stop()
		c.readTimer = nil
		c.wantsClose = request.wantsClose
		c.lastActive = c.server.loop.Now()
		c.serve(request)
		c.reader.consume()
	}
	c.afterReading()
}

// afterReading handles what OnData leaves in the buffer.
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
	case c.readTimer == nil && unread > 0: // in stateNew the timer runs from the accept on
		c.startReadTimer()
	}
	c.socket.LimitReadAhead(c.state == stateInFlight)
}

// startReadTimer bounds the time until a request is complete. This protects against clients that connect and send
// nothing, or stop within a request.
func (c *connection) startReadTimer() {
	deadline := c.server.loop.Now() + c.server.options.ReadTimeout
	c.readTimer = c.server.loop.Timers.Schedule(deadline, c.onReadTimeout)
}

// onReadTimeout closes a connection without a complete request, after an error response where a part of one has
// arrived.
func (c *connection) onReadTimeout() {
	if c.state == stateClosing {
		return
	}
	c.server.counters.Increment(metrics.HTTPReadTimeouts)
	if c.closeUnused(closeReadTimeout) {
		return
	}
	c.reject(&statusError{http.StatusRequestTimeout, "the call was not whole in time"})
}

// forward passes a valid request to the dispatcher, which may respond before it returns.
func (c *connection) forward(request *lifecycle.Request) {
	c.request = request
	c.state = stateInFlight
	c.server.requests.addInFlight(request.ID)
	c.server.dispatcher.Accept(request)
}

// Respond writes the response to the request in flight and goes on reading: the client may have sent further
// requests.
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
	c.socket.LimitReadAhead(false)
	if c.state != stateClosing {
		c.socket.Redeliver()
	}
}

// abandonRequest withdraws the request in flight, if there is one.
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
