// Package engine is the part of an engine client that does not depend on the protocol: the
// engines of the endpoint list, the connections to each, and the state of one connection from
// its dial to its close.
//
// The client of a protocol has two types. Its connection embeds a Connection, implements Protocol
// and is dialed with Connection.Dial. Its client embeds a Client and adds the other methods of
// lifecycle.EngineClient. Start finds the engine with FindEngine, puts the attempt on one of the
// engine's Connections or on a new one, and stores an AttemptHandle in the attempt. Each attempt
// ends with a call of Dispatcher.EndAttempt, unless it is abandoned first. See lineclient and
// pgclient.
package engine

import (
	"log/slog"
	"time"

	"flaxrelay/internal/eventloop"
	"flaxrelay/internal/lifecycle"
	"flaxrelay/internal/metrics"
)

// Options configure the connections of one client.
type Options struct {
	// ConnectTimeout limits the dial.
	ConnectTimeout time.Duration
	// IdleTimeout is how long a connection stays open without an attempt; 0: unlimited.
	IdleTimeout time.Duration
	// ReadBufferBytes limits the read buffer of one connection. While it is full, the socket is
	// not read.
	ReadBufferBytes int
	// StallTimeout limits the wait for the next bytes of an incomplete message.
	StallTimeout time.Duration
	// MessageTimeout limits the time from the first bytes of a message to its last bytes; 0:
	// unlimited.
	MessageTimeout time.Duration
	// LogDialErrors enables a log event for each failed dial, except for refused connections.
	LogDialErrors bool
	// AbortOnProtocolError closes a connection at once after a protocol error, and discards the
	// written bytes that are not sent yet. If it is false, these bytes are sent first.
	AbortOnProtocolError bool
}

// Client owns the engines of the endpoint list and the connections to them. A protocol's client
// embeds it. It may be used only on the event loop's goroutine.
type Client[P Protocol] struct {
	Loop *eventloop.Loop
	// Dispatcher is notified of the end of each attempt. If connections have an idle timeout, its
	// clock must be Loop's.
	Dispatcher *lifecycle.Dispatcher
	Counters   *metrics.Counters
	Log        *slog.Logger

	options Options
	pool    *pool[P]
	// accepting contains the connections that accept attempts. A connection is added when its dial
	// starts.
	accepting map[*Connection[P]]struct{}
}

// NewClient returns a client without engines.
func NewClient[P Protocol](
	loop *eventloop.Loop,
	dispatcher *lifecycle.Dispatcher,
	options Options,
	counters *metrics.Counters,
	log *slog.Logger,
) *Client[P] {
	return &Client[P]{
		Loop:       loop,
		Dispatcher: dispatcher,
		Counters:   counters,
		Log:        log,
		options:    options,
		pool:       newPool[P](),
		accepting:  map[*Connection[P]]struct{}{},
	}
}

// UpdateEndpoint applies an entry of the endpoint list. It is part of lifecycle.EngineClient.
func (c *Client[P]) UpdateEndpoint(endpoint lifecycle.Endpoint) { c.pool.updateEndpoint(endpoint) }

// FindEngine returns the engine with this id, or nil if the endpoint list does not contain it.
func (c *Client[P]) FindEngine(id string) *Engine[P] { return c.pool.get(id) }

// EnsureCapacity reports whether one more connection may be dialed. limit is the maximum number
// of connections that accept attempts; 0: unlimited. At the limit, EnsureCapacity evicts the
// least recently used idle connection, or returns false if no connection is idle.
func (c *Client[P]) EnsureCapacity(limit int) bool {
	if limit <= 0 || len(c.accepting) < limit {
		return true
	}
	evicted := c.leastRecentlyUsedIdle()
	if evicted == nil {
		return false
	}
	c.Counters.Increment(metrics.EngineConnectionsEvicted)
	evicted.protocol.Retire()
	return true
}

// leastRecentlyUsedIdle returns the least recently used idle connection among those that accept
// attempts, or nil if none of them is idle.
func (c *Client[P]) leastRecentlyUsedIdle() *Connection[P] {
	var found *Connection[P]
	for connection := range c.accepting {
		idle := connection.Connected() && connection.protocol.InFlight() == 0
		if idle && (found == nil || connection.lastUsed < found.lastUsed) {
			found = connection
		}
	}
	return found
}
