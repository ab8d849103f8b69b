// Package lineclient carries attempts to engines that speak the platform's line
// protocol: many requests on one connection, responses in any order.
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
	// readBufferBytes bounds the read buffer of one connection, well above the largest response.
	readBufferBytes = 64 << 10
	// stallTimeout is how long a response may stop in the middle: engines send each in one piece.
	stallTimeout = 500 * time.Millisecond
	// responseTimeout bounds a response that arrives in pieces. It prevents one that never
	// ends from blocking all else on its connection.
	responseTimeout = 4 * stallTimeout
	// idleFraction of the engines' own idle timeout is when this side closes an idle
	// connection, so that no request crosses a close by the engine.
	idleFraction = 0.8
	// defaultConnectTimeout applies where the settings give none.
	defaultConnectTimeout = 250 * time.Millisecond
)

// Client holds the connections to all engines. It belongs to the event loop's
// goroutine.
type Client struct {
	// MaxConnections bounds the connections that accept attempts, so that they leave
	// descriptors to discovery and to clients; 0: unbounded. At the bound an idle one is
	// evicted for a new one. It is set before the first Start.
	MaxConnections int

	shared     *engine.Client[*connection]
	maxStreams int  // of one connection
	sendCancel bool // the settings permit to cancel running requests
}

// New returns a client that reports to the dispatcher.
func New(
	loop *eventloop.Loop, dispatcher *lifecycle.Dispatcher, site config.Settings, counters *metrics.Counters, log *slog.Logger,
) *Client {
	connectTimeout := site.ConnectTimeout
	if connectTimeout <= 0 {
		connectTimeout = defaultConnectTimeout
	}
	options := engine.Options{
		ConnectTimeout:       connectTimeout,
		IdleTimeout:          time.Duration(float64(site.IdleClose) * idleFraction),
		ReadBufferBytes:      readBufferBytes,
		StallTimeout:         stallTimeout,
		MessageTimeout:       responseTimeout,
		LogDialErrors:        true,
		AbortOnProtocolError: true,
	}
	return &Client{
		shared:     engine.NewClient[*connection](loop, dispatcher, options, counters, log),
		maxStreams: max(site.MaxStreams, 1),
		sendCancel: site.Policy.Limits.Cancel,
	}
}

// UpdateEndpoint applies an entry of the endpoint list.
func (c *Client) UpdateEndpoint(endpoint lifecycle.Endpoint) { c.shared.UpdateEndpoint(endpoint) }

// Start begins an attempt on a connection that has capacity, or on a new one.
func (c *Client) Start(attempt *lifecycle.Attempt) {
	target := c.shared.EngineOf(attempt)
	if target == nil {
		return
	}
	conn := c.findConnection(target, attempt.Request.ID)
	if conn == nil {
		if !c.shared.EnsureCapacity(c.MaxConnections) {
			c.shared.Dispatcher.EndAttempt(attempt, lifecycle.StatusNoDescriptor, lifecycle.AttemptReport{})
			return
		}
		conn = newConnection(c, target)
	}
	conn.add(attempt)
}

// findConnection returns a connection to the engine that can take a request of this
// id, or nil.
func (c *Client) findConnection(target *engine.Engine[*connection], id string) *connection {
	now := c.shared.Dispatcher.Now()
	for _, conn := range target.Connections {
		if conn.accepts(id, now) {
			return conn
		}
	}
	return nil
}

// Abandon gives an attempt up. Its engine gets a cancel where the settings permit it; a
// result whose pages are being fetched needs no more work, and is always released.
func (c *Client) Abandon(attempt *lifecycle.Attempt) {
	if s, ok := attempt.ClientData.(*stream); ok {
		s.conn.abandon(s)
	}
}

// Withdraw takes back an attempt whose request is not written yet, and reports
// whether it could.
func (c *Client) Withdraw(attempt *lifecycle.Attempt) bool {
	s, ok := attempt.ClientData.(*stream)
	if !ok || s.written {
		return false
	}
	s.conn.abandon(s)
	return true
}

// SetPriority changes the priority of an attempt whose request is written.
func (c *Client) SetPriority(attempt *lifecycle.Attempt, priority int) {
	s, ok := attempt.ClientData.(*stream)
	if ok && s.written && !s.fetchingPages() && s.conn.Connected() {
		s.conn.Write(priorityCommand(attempt.Request.ID, priority))
	}
}
