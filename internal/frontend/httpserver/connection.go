package httpserver

import (
	"net/http"
	"time"

	"flaxrelay/internal/engine/lineclient"
	"flaxrelay/internal/eventloop"
	"flaxrelay/internal/frontend/clientconn"
	"flaxrelay/internal/lifecycle"
	"flaxrelay/internal/timerqueue"
)

// maxPendingWrite is how many bytes of responses may wait to be sent to a client before
// no more of its requests are read.
const maxPendingWrite = 256 << 10

// connectionState is the state of a connection with regard to its client's requests.
type connectionState uint8

const (
	// stateReady awaits a request.
	stateReady connectionState = iota
	// stateInFlight has a request that the dispatcher has not answered.
	stateInFlight
	// statePaging awaits a request, and its latest response named a further page.
	statePaging
	// stateClosing reads and writes nothing more.
	stateClosing
)

// connection is the connection of one client. It belongs to the goroutine of the event
// loop.
type connection struct {
	server *Server
	socket *eventloop.Conn
	state  connectionState

	request    *lifecycle.Request // set in stateInFlight alone
	lastActive time.Duration      // time of the latest request or response
	readTimer  *timerqueue.Timer  // closes the connection unless a request is complete by then
	// validRequestSeen marks a client that has made a valid request: eviction prefers others.
	validRequestSeen   bool
	closeAfterResponse bool
	evicting           bool        // its place is needed: what has arrived is refused
	closeReason        closeReason // why this side closes the connection; "": it doesn't
	// unread is what has arrived behind the request being read, during OnData alone.
	unread  int
	reading bool
}

// awaitsRequest reports whether the next request may be read.
func (c *connection) awaitsRequest() bool {
	return c.state == stateReady || c.state == statePaging
}

// hasUnread reports whether more has arrived behind the latest request.
func (c *connection) hasUnread() bool {
	if c.reading { // the buffer is locked
		return c.unread > 0
	}
	return c.socket.UnreadBytes() > 0
}

// idle reports whether nothing is open on the connection: no request in flight, no
// result that is fetched page by page, no part of a request.
func (c *connection) idle() bool {
	return c.state == stateReady && c.socket.UnreadBytes() == 0
}

// OnData reads requests until one waits for its response.
func (c *connection) OnData(_ *eventloop.Conn, in *eventloop.Buffer) {
	c.reading = true
	defer func() { c.reading = false }()
	for c.awaitsRequest() {
		if c.socket.Disconnected() {
			// The client may have left hundreds of requests behind: none is forwarded.
			in.Consume(in.Len())
			return
		}
		if clientconn.PauseUntilFlushed(c.socket, maxPendingWrite) {
			return
		}
		size, err := c.readRequest(in)
		if err != nil {
			c.reject(err)
			return
		}
		if size == 0 {
			break
		}
		in.Consume(size)
	}
	c.afterReading(in)
}

// readRequest routes the first request of the input and returns its size, or 0 while it
// is incomplete.
func (c *connection) readRequest(in *eventloop.Buffer) (size int, err *statusError) {
	input := in.Bytes()
	request, size, err := parse(input)
	if err != nil || size == 0 {
		return 0, err
	}
	request.arrivedAt = in.ArrivedAt(size)
	c.unread = len(input) - size
	if size < len(input) && !canStartRequest(input[size:]) {
		return 0, wrongContentLength()
	}
	c.readTimer.Stop()
	c.readTimer = nil
	c.closeAfterResponse = request.wantsClose
	c.state = stateReady
	c.lastActive = c.server.loop.Now()
	c.route(request)
	return size, nil
}

// afterReading handles what OnData leaves in the buffer.
func (c *connection) afterReading(in *eventloop.Buffer) {
	switch {
	case c.state == stateClosing:
		in.Consume(in.Len())
	case c.state == stateInFlight:
		if in.Len() > 0 && !canStartRequest(in.Bytes()) {
			c.abandonRequest()
			c.reject(wrongContentLength())
		}
	case c.evicting && in.Len() > 0:
		c.refuse(closeEvicted)
	case c.server.finishing && in.Len() > 0:
		c.refuse(closeShutdown)
	case c.readTimer == nil && (in.Len() > 0 || !c.validRequestSeen):
		c.startReadTimer()
	}
	c.socket.LimitReadAhead(c.state == stateInFlight)
}

// startReadTimer closes the connection unless a request is complete in time. This
// protects against clients that connect and send nothing, or stop within a request.
func (c *connection) startReadTimer() {
	deadline := c.server.loop.Now() + c.server.options.ReadTimeout
	c.readTimer = c.server.loop.Timers.Schedule(deadline, c.onReadTimeout)
}

func (c *connection) onReadTimeout() {
	if c.state == stateClosing {
		return
	}
	c.server.counters.IncrementByName("http.read-timeouts")
	if c.closeUnused(closeReadTimeout) {
		return
	}
	c.reject(&statusError{http.StatusRequestTimeout, "the call was not whole in time"})
}

// OnClosed abandons the request of a client that has disconnected.
func (c *connection) OnClosed(_ *eventloop.Conn, err error) {
	c.countClose(err)
	c.readTimer.Stop()
	delete(c.server.connections, c)
	c.abandonRequest()
	c.state = stateClosing
}

// abandonRequest withdraws the request in flight, if there is one.
func (c *connection) abandonRequest() {
	if c.state != stateInFlight {
		return
	}
	request := c.request
	c.request, c.state = nil, stateReady
	delete(c.server.inFlightIDs, request.ID)
	c.server.dispatcher.ClientDisconnected(request)
}

// forward passes a valid request to the dispatcher, which may respond before it returns.
func (c *connection) forward(request *lifecycle.Request) {
	c.request, c.state = request, stateInFlight
	c.validRequestSeen = true
	c.server.inFlightIDs[request.ID] = struct{}{}
	c.server.dispatcher.Accept(request)
}

// Respond writes the response to the request in flight and goes on reading: the client
// may have sent further requests.
func (c *connection) Respond(request *lifecycle.Request, response lifecycle.Response) {
	c.request, c.state = nil, stateReady
	c.lastActive = c.server.loop.Now()
	delete(c.server.inFlightIDs, request.ID)
	switch response.Verdict {
	case lifecycle.VerdictServed:
		rows, _ := response.Result.(lineclient.Rows)
		c.writeRows(request, rows)
	case lifecycle.VerdictRejected:
		c.write(http.StatusServiceUnavailable, response.RetryAfter, []byte(busyBody))
	default:
		c.write(http.StatusInternalServerError, 0, []byte(`{"fault":"Failed"}`))
	}
	c.socket.LimitReadAhead(false)
	if c.state != stateClosing {
		c.socket.Redeliver()
	}
}
