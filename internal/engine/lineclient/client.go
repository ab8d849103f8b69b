// Package lineclient sends attempts to engines in the platform's line protocol. One connection
// carries many requests at a time, and their responses arrive in any order.
//
// New returns a Client, which is passed to Dispatcher.SetEngineClient. The statement of a request
// is a string, and the result of a served request has the type Rows.
package lineclient

import (
	"log/slog"
	"time"

	"flaxrelay/internal/config"
	"flaxrelay/internal/engine"
	"flaxrelay/internal/eventloop"
	"flaxrelay/internal/lifecycle"
	"flaxrelay/internal/metrics"
)

const (
	// readBufferBytes limits the read buffer of one connection. The largest response is much smaller.
	readBufferBytes = 64 << 10
	// stallTimeout limits the wait for the next bytes of an incomplete response. Engines send each
	// response in one piece.
	stallTimeout = 500 * time.Millisecond
	// responseTimeout limits the time from the first to the last bytes of a response that arrives in
	// pieces. Otherwise a response that never ends would block all others on its connection.
	responseTimeout = 4 * stallTimeout
	// idleFraction is the fraction of the engines' idle timeout after which this side closes an
	// idle connection, so that no request is sent while the engine closes the connection.
	idleFraction = 0.8
	// defaultConnectTimeout applies if the settings contain no connect timeout.
	defaultConnectTimeout = 250 * time.Millisecond
)

// Client is a lifecycle.EngineClient for engines that speak the line protocol. It may be used
// only on the event loop's goroutine.
type Client struct {
	*engine.Client[*connection]

	// MaxConnections limits the connections that accept attempts, so that descriptors remain for
	// discovery and for clients; 0: unlimited. At the limit, an idle connection is evicted before a
	// new one is dialed. MaxConnections must be set before the first Start.
	MaxConnections int

	maxStreams  int  // limit of the attempts in flight on one connection
	maxAttempts int  // limit of the attempts of one request
	sendCancel  bool // the settings permit the cancellation of running requests
}

// New returns a client that reports to the dispatcher.
func New(
	loop *eventloop.Loop,
	dispatcher *lifecycle.Dispatcher,
	settings config.Settings,
	counters *metrics.Counters,
	log *slog.Logger,
) *Client {
	connectTimeout := settings.ConnectTimeout
	if connectTimeout <= 0 {
		connectTimeout = defaultConnectTimeout
	}
	options := engine.Options{
		ConnectTimeout:       connectTimeout,
		IdleTimeout:          time.Duration(float64(settings.EngineIdleTimeout) * idleFraction),
		ReadBufferBytes:      readBufferBytes,
		StallTimeout:         stallTimeout,
		MessageTimeout:       responseTimeout,
		LogDialErrors:        true,
		AbortOnProtocolError: true,
	}
	return &Client{
		Client:      engine.NewClient[*connection](loop, dispatcher, options, counters, log),
		maxStreams:  max(settings.MaxStreams, 1),
		maxAttempts: max(settings.Policy.Limits.MaxAttempts, 1),
		sendCancel:  settings.Policy.Limits.Cancel,
	}
}

// Start starts an attempt on a connection that has capacity, or on a new connection.
func (c *Client) Start(attempt *lifecycle.Attempt) {
	target := c.FindEngine(attempt.Engine)
	if target == nil {
		c.Dispatcher.EndAttempt(attempt, lifecycle.StatusUnknownEngine, lifecycle.AttemptReport{})
		return
	}
	conn := c.findConnection(target, attempt.Request.ID)
	if conn == nil {
		c.limitRepetitions(target, attempt.Request.ID)
		if !c.EnsureCapacity(c.MaxConnections) {
			c.Dispatcher.EndAttempt(attempt, lifecycle.StatusNoDescriptor, lifecycle.AttemptReport{})
			return
		}
		conn = newConnection(c, target)
	}
	conn.add(attempt)
}

// findConnection searches the connections to the engine for one that accepts a request with this
// id. It returns nil if there is none.
func (c *Client) findConnection(target *engine.Engine[*connection], id string) *connection {
	for _, conn := range target.Connections {
		if conn.accepts(id) {
			return conn
		}
	}
	return nil
}

// limitRepetitions retires an idle connection that has carried a request with this id, if as many connections to the
// engine have carried one as a request may have attempts. A retry at the same engine stays below that. Without the
// limit, a client that repeats an id would make the front end keep one more connection for each repetition.
func (c *Client) limitRepetitions(target *engine.Engine[*connection], id string) {
	carried := 0
	var idle *connection
	for _, conn := range target.Connections {
		if conn.Retiring() || !conn.usedIDs.has(id) {
			continue
		}
		carried++
		if conn.Connected() && conn.InFlight() == 0 {
			idle = conn
		}
	}
	if carried >= c.maxAttempts && idle != nil {
		idle.Retire()
	}
}

// SetPriority changes the priority of an attempt whose request is written and has no result
// yet. It does nothing in any other state.
func (c *Client) SetPriority(attempt *lifecycle.Attempt, priority int) {
	s, ok := attempt.ClientData.(*stream)
	if ok && s.state == streamWritten && s.conn.Connected() {
		s.conn.Write(priorityCommand(attempt.Request.ID, priority))
	}
}
