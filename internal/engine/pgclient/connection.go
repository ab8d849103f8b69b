package pgclient

import (
	"time"

	"flaxrelay/internal/engine"
	"flaxrelay/internal/lifecycle"
)

// connection is one connection to an engine. It owns the exchange of its attempt, and is that
// attempt's engine.AttemptHandle. In engine.StateStartup it waits for the engine's ReadyForQuery.
// It may be used only on the event loop's goroutine.
type connection struct {
	engine.Connection[*connection]

	client *Client
	// startupDeadline is when the startup must be complete, by the event loop's clock.
	startupDeadline time.Duration
	// cancelKey is the process id and the secret key of BackendKeyData, as a CancelRequest contains
	// them; nil: the engine has not sent BackendKeyData.
	cancelKey  []byte
	statements preparedStatements
	exchange   exchange
	// reusableAt is the end of Options.ReuseDelay after the latest response, by the event loop's clock.
	reusableAt time.Duration

	handling       bool // HandleMessage runs
	unhandledBytes int  // the number of bytes after the message that HandleMessage handles
}

var _ engine.AttemptHandle = (*connection)(nil)

// newConnection returns a new connection to the engine and starts its dial.
func newConnection(client *Client, target *engine.Engine[*connection]) *connection {
	c := &connection{client: client, statements: newPreparedStatements()}
	c.startupDeadline = client.Loop.Now() + client.options.ConnectTimeout
	c.Dial(client.Client, target, c)
	return c
}

// add puts an attempt on an idle connection. It writes the query if the connection is open;
// otherwise completeStartup does.
func (c *connection) add(attempt *lifecycle.Attempt) {
	c.exchange = newExchange(attempt)
	attempt.ClientData = c
	if c.State() == engine.StateOpen {
		c.writeQuery()
	}
}

// acceptsAttempt reports whether an attempt may be put on the connection. Responses are matched to queries by their
// order alone. Bytes that the engine has already sent, or sends soon after its response, such as a duplicate of the
// previous response, would be taken for the response to the next query.
func (c *connection) acceptsAttempt() bool {
	return !c.Retiring() && c.exchange.idle() && !c.hasUnhandledBytes() && c.client.Loop.Now() >= c.reusableAt
}

// hasUnhandledBytes reports whether bytes of the engine have arrived and not been handled.
func (c *connection) hasUnhandledBytes() bool {
	if c.handling {
		return c.unhandledBytes > 0
	}
	return c.Connected() && c.HasUnreadBytes()
}

// InFlight returns the number of attempts on the connection: 0 or 1.
func (c *connection) InFlight() int {
	if c.exchange.idle() {
		return 0
	}
	return 1
}

// Written reports whether the query of the connection's attempt is written.
func (c *connection) Written() bool { return c.exchange.written() }

// Abandon removes the attempt from the connection. The attempt must not have ended. If its query is
// written, the connection is closed and a CancelRequest is sent on another connection. If this
// connection were reused, a CancelRequest that arrives late would cancel its next query.
func (c *connection) Abandon() {
	written := c.exchange.written()
	c.removeAttempt()
	if written {
		c.cancel()
	}
}

// removeAttempt removes the attempt from the connection, and returns the bytes of its rows to the
// budget.
func (c *connection) removeAttempt() {
	c.client.resultBudget.Release(len(c.exchange.result.DataRows))
	c.exchange.attempt.ClientData = nil // the connection may get another attempt, which this one must not abandon
	c.exchange.clear()
}

// finish removes the attempt from the connection and ends the attempt.
func (c *connection) finish(status lifecycle.AttemptStatus, report lifecycle.AttemptReport) {
	attempt := c.exchange.attempt
	c.removeAttempt()
	c.MarkUsed()
	c.reusableAt = c.client.Loop.Now() + c.client.options.ReuseDelay
	c.CloseIfRetiringAndIdle()
	c.client.Dispatcher.EndAttempt(attempt, status, report)
}

// ResetStatus returns the status of an attempt whose connection the engine has closed.
func (c *connection) ResetStatus() lifecycle.AttemptStatus {
	if !c.exchange.written() { // closed during the startup: no part of the query was sent
		return lifecycle.StatusConnectionRefused
	}
	return lifecycle.StatusConnectionReset
}

// HandleClosed ends the attempt on the connection.
func (c *connection) HandleClosed(status lifecycle.AttemptStatus) {
	if c.exchange.idle() {
		return
	}
	attempt := c.exchange.attempt
	var report lifecycle.AttemptReport
	if c.exchange.errorResponse != nil {
		report.ErrorDetail = c.exchange.errorResponse
	}
	c.removeAttempt()
	c.client.Dispatcher.EndAttempt(attempt, status, report)
}
