package pgclient

import (
	"time"

	"flaxrelay/internal/eventloop"
	"flaxrelay/internal/lifecycle"
	"flaxrelay/internal/pgproto"
)

// cancelTimeout bounds the dial of a connection for a CancelRequest.
const cancelTimeout = time.Second

// cancel closes the connection and requests the engine to cancel the query that runs on it.
func (c *connection) cancel() {
	shared := c.client.shared
	shared.Counters.IncrementByName("engine-connections.cancel-requests")
	c.Close(lifecycle.StatusCancelled)
	if c.cancelKey == nil {
		return
	}
	timeout := min(c.client.options.ConnectTimeout, cancelTimeout)
	shared.Loop.Dial(c.Engine().Address, timeout, readBufferBytes, discardHandler{}, func(socket *eventloop.Conn, err error) {
		if err != nil {
			return // the query then runs to its end, as if it had ended just before the request
		}
		socket.Write(pgproto.AppendStartup(nil, pgproto.CancelRequestCode, c.cancelKey))
		socket.Close()
	})
}

// discardHandler discards everything received on a connection.
type discardHandler struct{}

// OnData discards what was read.
func (discardHandler) OnData(_ *eventloop.Conn, in *eventloop.Buffer) { in.Consume(in.Len()) }

// OnClosed does nothing.
func (discardHandler) OnClosed(*eventloop.Conn, error) {}
