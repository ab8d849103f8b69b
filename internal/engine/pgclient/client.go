// Package pgclient carries attempts to engines that speak the PostgreSQL wire protocol:
// one attempt at a time on a connection, which is reused.
package pgclient

import (
	"log/slog"
	"time"

	"flaxrelay/internal/engine"
	"flaxrelay/internal/eventloop"
	"flaxrelay/internal/lifecycle"
	"flaxrelay/internal/metrics"
	"flaxrelay/internal/pgproto"
)

const (
	// maxResultBytes bounds the rows of one result, which is buffered until it is complete.
	maxResultBytes = 4 << 20
	// maxMessageBytes bounds one message.
	maxMessageBytes = maxResultBytes
	// readBufferBytes bounds the read buffer of one connection: one message, and what
	// one read brings beyond it.
	readBufferBytes = maxMessageBytes + 64<<10
	// stallTimeout is how long an engine may send nothing in the middle of a message.
	stallTimeout = 2 * time.Second
	// defaultConnectTimeout applies where the options give none.
	defaultConnectTimeout = time.Second
	// defaultBufferedBytes is the bound of Options.MaxBufferedBytes where the options give none.
	defaultBufferedBytes = 48 << 20
)

// Options configure the connections to engines.
type Options struct {
	User, Database   string
	ConnectTimeout   time.Duration // for the connection and its startup together
	IdleTimeout      time.Duration // 0: idle connections stay open
	MaxBufferedBytes int           // bound of the rows of all results that are incomplete
}

// Client holds the connections to all engines. It belongs to the event loop's
// goroutine.
type Client struct {
	shared        *engine.Client[*connection]
	options       Options
	bufferedBytes int // of the rows of incomplete results
}

// New returns a client that reports to the dispatcher.
func New(
	loop *eventloop.Loop, dispatcher *lifecycle.Dispatcher, options Options, counters *metrics.Counters, log *slog.Logger,
) *Client {
	if options.ConnectTimeout <= 0 {
		options.ConnectTimeout = defaultConnectTimeout
	}
	if options.MaxBufferedBytes <= 0 {
		options.MaxBufferedBytes = defaultBufferedBytes
	}
	shared := engine.Options{
		ConnectTimeout:  options.ConnectTimeout,
		IdleTimeout:     options.IdleTimeout,
		ReadBufferBytes: readBufferBytes,
		StallTimeout:    stallTimeout,
	}
	return &Client{shared: engine.NewClient[*connection](loop, dispatcher, shared, counters, log), options: options}
}

// UpdateEndpoint applies an entry of the endpoint list.
func (c *Client) UpdateEndpoint(endpoint lifecycle.Endpoint) { c.shared.UpdateEndpoint(endpoint) }

// Start begins an attempt on an idle connection, or on a new one.
func (c *Client) Start(attempt *lifecycle.Attempt) {
	target := c.shared.EngineOf(attempt)
	if target == nil {
		return
	}
	conn := findIdle(target)
	if conn == nil {
		conn = newConnection(c, target)
	}
	conn.exchange = exchange{attempt: attempt, result: &pgproto.Result{}}
	attempt.ClientData = conn
	if conn.State() == engine.StateOpen {
		conn.writeQuery()
	}
}

// findIdle returns a connection to the engine that has no attempt, or nil.
func findIdle(target *engine.Engine[*connection]) *connection {
	for _, conn := range target.Connections {
		if !conn.Draining() && conn.exchange.attempt == nil {
			return conn
		}
	}
	return nil
}

// connectionOf returns the connection that the attempt is on, or nil.
func connectionOf(attempt *lifecycle.Attempt) *connection {
	conn, ok := attempt.ClientData.(*connection)
	if !ok || conn.exchange.attempt != attempt {
		return nil
	}
	return conn
}

// Abandon gives an attempt up. Where its query was written, a cancel request is sent on a
// separate connection, and the attempt's connection is not used again: the cancel
// request could arrive late and end whatever ran there next.
func (c *Client) Abandon(attempt *lifecycle.Attempt) {
	conn := connectionOf(attempt)
	if conn == nil {
		return
	}
	conn.clearExchange()
	if conn.exchange.state != queryPending {
		conn.cancel()
	}
}

// Withdraw takes back an attempt whose query is not written yet, and reports whether
// it could.
func (c *Client) Withdraw(attempt *lifecycle.Attempt) bool {
	conn := connectionOf(attempt)
	if conn == nil || conn.exchange.state != queryPending {
		return false
	}
	conn.clearExchange()
	return true
}

// SetPriority does nothing: the protocol has no priorities.
func (c *Client) SetPriority(*lifecycle.Attempt, int) {}
