package pgclient

import (
	"time"

	"flaxrelay/internal/engine"
	"flaxrelay/internal/lifecycle"
	"flaxrelay/internal/pgproto"
)

// connection is one connection with the attempt on it. It belongs to the event loop's
// goroutine.
type connection struct {
	engine.Connection[*connection]

	client          *Client
	startupDeadline time.Duration
	cancelKey       []byte // process and secret, as a CancelRequest has them; nil: the engine gave none
	prepared        preparedStatements
	exchange        exchange
}

// queryState is the progress of a query.
type queryState uint8

// The states of a query, in their order.
const (
	queryPending queryState = iota // not written yet
	queryWritten                   // written; nothing of it has run as far as is known
	queryBound                     // BindComplete has arrived: the statement may be running
)

// exchange is one query with its response. Without an attempt the connection is idle,
// and the rest is that of the last query.
type exchange struct {
	attempt *lifecycle.Attempt
	state   queryState
	// statementKey is the key of the statement in preparedStatements.
	statementKey string
	// parsedName is the name that this query's Parse gives to the statement; "": it
	// gives none.
	parsedName    string
	result        *pgproto.Result // nil where there is no attempt
	complete      bool            // CommandComplete or EmptyQueryResponse has arrived
	errorResponse *pgproto.Error  // the latest; nil: none
}

// newConnection starts a connection to the engine.
func newConnection(client *Client, target *engine.Engine[*connection]) *connection {
	c := &connection{client: client, prepared: newPreparedStatements()}
	c.startupDeadline = client.shared.Loop.Now() + client.options.ConnectTimeout
	c.Dial(client.shared, target, c)
	return c
}

// InFlight returns the number of attempts on the connection: 0 or 1.
func (c *connection) InFlight() int {
	if c.exchange.attempt == nil {
		return 0
	}
	return 1
}

// Retire makes the connection accept no new attempts and close once it has none.
func (c *connection) Retire() {
	c.StopAccepting()
	c.closeIfDrained()
}

// closeIfDrained closes a draining connection that has no attempt any more.
func (c *connection) closeIfDrained() {
	if c.Drained() {
		c.Close(lifecycle.StatusIdleClosed)
	}
}

// clearExchange takes the attempt off the connection.
func (c *connection) clearExchange() {
	if result := c.exchange.result; result != nil {
		c.client.bufferedBytes -= len(result.DataRows)
	}
	c.exchange.attempt, c.exchange.result, c.exchange.errorResponse = nil, nil, nil
}

// finish takes the attempt off the connection and ends it.
func (c *connection) finish(status lifecycle.AttemptStatus, report lifecycle.AttemptReport) {
	attempt := c.exchange.attempt
	c.clearExchange()
	c.MarkUsed()
	c.closeIfDrained()
	c.client.shared.Dispatcher.EndAttempt(attempt, status, report)
}

// ResetStatus returns how the attempt ends where the engine closes the connection.
func (c *connection) ResetStatus() lifecycle.AttemptStatus {
	if c.exchange.state == queryPending { // the startup was cut off: nothing of the attempt was sent
		return lifecycle.StatusConnectionRefused
	}
	return lifecycle.StatusConnectionReset
}

// HandleClosed ends the attempt on the connection.
func (c *connection) HandleClosed(status lifecycle.AttemptStatus) {
	attempt := c.exchange.attempt
	if attempt == nil {
		return
	}
	var report lifecycle.AttemptReport
	if c.exchange.errorResponse != nil {
		report.ErrorDetail = c.exchange.errorResponse
	}
	c.clearExchange()
	c.client.shared.Dispatcher.EndAttempt(attempt, status, report)
}
