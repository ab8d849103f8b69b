// Package pgclient sends attempts to engines in the PostgreSQL wire protocol. A connection carries
// one attempt at a time and is reused.
//
// New returns a Client, which is passed to Dispatcher.SetEngineClient. The statement of a request
// is a *pgproto.Statement, and the result of a served request is a *pgproto.Result. If an engine
// has ended an attempt with an error, the error detail of the attempt is a *pgproto.Error.
package pgclient

import (
	"log/slog"
	"time"

	"flaxrelay/internal/engine"
	"flaxrelay/internal/eventloop"
	"flaxrelay/internal/lifecycle"
	"flaxrelay/internal/memorybudget"
	"flaxrelay/internal/metrics"
)

const (
	// maxResultBytes limits the rows of one result, which is buffered until it is complete.
	maxResultBytes = 4 << 20
	// maxMessageBytes limits one message.
	maxMessageBytes = maxResultBytes
	// readBufferBytes limits the read buffer of one connection. The buffer has space for the longest
	// message and for the bytes that arrive together with the end of that message.
	readBufferBytes = maxMessageBytes + 64<<10
	// stallTimeout limits the wait for the next bytes of an incomplete message.
	stallTimeout = 2 * time.Second
	// defaultConnectTimeout applies if the options contain no ConnectTimeout.
	defaultConnectTimeout = time.Second
	// defaultMaxBufferedBytes applies if the options contain no MaxBufferedBytes.
	defaultMaxBufferedBytes = 48 << 20
)

// Options configure the connections to engines.
type Options struct {
	User             string
	Database         string
	ConnectTimeout   time.Duration // for the dial and the startup together; 0: default
	IdleTimeout      time.Duration // 0: idle connections stay open
	MaxBufferedBytes int           // limit of bytes of rows in all incomplete results; 0: default
	// ReuseDelay is how long a connection takes no query after a response; 0: the next query may follow at once. A
	// duplicate of the response that arrives in this time closes the connection. One that arrives later is taken for
	// the response to the next query.
	ReuseDelay time.Duration
}

// Client is a lifecycle.EngineClient for PostgreSQL engines. It may be used only on the event
// loop's goroutine.
type Client struct {
	*engine.Client[*connection]

	options Options
	// resultBudget limits the memory of the rows of all incomplete results.
	resultBudget memorybudget.Budget
}

// New returns a client that reports to the dispatcher.
func New(
	loop *eventloop.Loop,
	dispatcher *lifecycle.Dispatcher,
	options Options,
	counters *metrics.Counters,
	log *slog.Logger,
) *Client {
	if options.ConnectTimeout <= 0 {
		options.ConnectTimeout = defaultConnectTimeout
	}
	if options.MaxBufferedBytes <= 0 {
		options.MaxBufferedBytes = defaultMaxBufferedBytes
	}
	limits := engine.Options{
		ConnectTimeout:  options.ConnectTimeout,
		IdleTimeout:     options.IdleTimeout,
		ReadBufferBytes: readBufferBytes,
		StallTimeout:    stallTimeout,
	}
	return &Client{
		Client:       engine.NewClient[*connection](loop, dispatcher, limits, counters, log),
		options:      options,
		resultBudget: memorybudget.New(options.MaxBufferedBytes),
	}
}

// Start starts an attempt on an idle connection, or on a new connection.
func (c *Client) Start(attempt *lifecycle.Attempt) {
	target := c.FindEngine(attempt.Engine)
	if target == nil {
		c.Dispatcher.EndAttempt(attempt, lifecycle.StatusUnknownEngine, lifecycle.AttemptReport{})
		return
	}
	conn := findIdle(target)
	if conn == nil {
		conn = newConnection(c, target)
	}
	conn.add(attempt)
}

// findIdle searches the connections to the engine for one that accepts an attempt. It returns nil if
// there is none.
func findIdle(target *engine.Engine[*connection]) *connection {
	for _, conn := range target.Connections {
		if conn.acceptsAttempt() {
			return conn
		}
	}
	return nil
}

// SetPriority does nothing: the protocol has no priorities.
func (c *Client) SetPriority(*lifecycle.Attempt, int) {}
