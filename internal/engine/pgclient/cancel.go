package pgclient

import (
	"time"

	"flaxrelay/internal/eventloop"
	"flaxrelay/internal/lifecycle"
	"flaxrelay/internal/metrics"
	"flaxrelay/internal/pgproto"
)

// cancelTimeout limits the dial of a connection for a CancelRequest.
const cancelTimeout = time.Second

// cancel closes the connection and sends a CancelRequest for its query. If the engine can't be
// reached or has sent no cancel key, the query runs to completion. A query that has been sent only in
// part never runs: the rest is not sent.
func (c *connection) cancel() {
	client := c.client
	client.Counters.Increment(metrics.EngineConnectionsCancelRequests)
	if c.PendingWrite() > 0 {
		c.Abort(lifecycle.StatusCancelled)
	} else {
		c.Close(lifecycle.StatusCancelled)
	}
	if c.cancelKey == nil {
		return
	}
	timeout := min(client.options.ConnectTimeout, cancelTimeout)
	client.Loop.Dial(c.Engine().Address, timeout, readBufferBytes, discardHandler{}, c.sendCancelRequest)
}

// sendCancelRequest sends the CancelRequest on a separate connection, if its dial has succeeded.
func (c *connection) sendCancelRequest(socket *eventloop.Conn, err error) {
	if err != nil {
		return
	}
	socket.Write(pgproto.AppendStartup(nil, pgproto.CancelRequestCode, c.cancelKey))
	socket.Close()
}

// discardHandler discards everything received on a connection.
type discardHandler struct{}

// OnData discards what was read.
func (discardHandler) OnData(_ *eventloop.Conn, in *eventloop.Buffer) { in.Consume(in.Len()) }

// OnClosed does nothing.
func (discardHandler) OnClosed(*eventloop.Conn, error) {}
