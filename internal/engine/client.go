// Package engine holds what the engine clients of all protocols share: the engines
// of the endpoint list, the connections to each, and the state of one connection
// from its dial to its end.
package engine

import (
	"log/slog"
	"time"

	"flaxrelay/internal/eventloop"
	"flaxrelay/internal/lifecycle"
	"flaxrelay/internal/metrics"
)

// Options are the limits of the connections of one client.
type Options struct {
	// ConnectTimeout bounds the dial.
	ConnectTimeout time.Duration
	// IdleTimeout is how long a connection stays open without an attempt; 0: forever.
	IdleTimeout time.Duration
	// ReadBufferBytes bounds the read buffer of one connection; the rest waits in the socket.
	ReadBufferBytes int
	// StallTimeout bounds the wait for the next bytes of an incomplete message.
	StallTimeout time.Duration
	// MessageTimeout bounds the time from the first bytes of an incomplete message to
	// its last; 0: unbounded.
	MessageTimeout time.Duration
	// LogDialErrors enables a log event for each failed dial, other than refused ones.
	LogDialErrors bool
	// AbortOnProtocolError discards unsent data when a connection ends with a protocol
	// error.
	AbortOnProtocolError bool
}

// Client is the part of an engine client that does not depend on the protocol: the
// engines, their connections and what these report to. It belongs to the event
// loop's goroutine.
type Client[P Protocol] struct {
	Loop       *eventloop.Loop
	Dispatcher *lifecycle.Dispatcher
	Counters   *metrics.Counters
	Log        *slog.Logger

	options Options
	pool    *Pool[P]
	// accepting holds the connections that are not draining, from their dials on.
	accepting map[*Connection[P]]struct{}
}

// NewClient returns a client without engines.
func NewClient[P Protocol](
	loop *eventloop.Loop, dispatcher *lifecycle.Dispatcher, options Options, counters *metrics.Counters, log *slog.Logger,
) *Client[P] {
	return &Client[P]{
		Loop: loop, Dispatcher: dispatcher, Counters: counters, Log: log,
		options: options, pool: NewPool[P](), accepting: map[*Connection[P]]struct{}{},
	}
}

// UpdateEndpoint applies an entry of the endpoint list.
func (c *Client[P]) UpdateEndpoint(endpoint lifecycle.Endpoint) { c.pool.UpdateEndpoint(endpoint) }

// EngineOf returns the engine of an attempt. Where the endpoint list has no such
// engine it ends the attempt and returns nil.
func (c *Client[P]) EngineOf(attempt *lifecycle.Attempt) *Engine[P] {
	engine := c.pool.Get(attempt.Engine)
	if engine == nil {
		c.Dispatcher.EndAttempt(attempt, lifecycle.StatusUnknownEngine, lifecycle.AttemptReport{})
	}
	return engine
}

// EnsureCapacity reports whether one more connection may be dialed within the limit (0:
// unbounded). At the limit it evicts the least recently used idle connection.
func (c *Client[P]) EnsureCapacity(limit int) bool {
	if limit <= 0 || len(c.accepting) < limit {
		return true
	}
	var leastRecent *Connection[P]
	for connection := range c.accepting {
		idle := connection.Connected() && connection.protocol.InFlight() == 0
		if idle && (leastRecent == nil || connection.lastUsed < leastRecent.lastUsed) {
			leastRecent = connection
		}
	}
	if leastRecent == nil {
		return false
	}
	c.Counters.IncrementByName("engine-connections.evicted")
	leastRecent.protocol.Retire()
	return true
}
