package engine

import (
	"errors"

	"flaxrelay/internal/eventloop"
	"flaxrelay/internal/lifecycle"
)

// ErrMessageTimeout is the protocol error of a message whose rest does not come in time.
var ErrMessageTimeout = errors.New("a message stalled or took too long")

// OnData passes every complete message of the buffer to the protocol.
func (c *Connection[P]) OnData(_ *eventloop.Conn, in *eventloop.Buffer) {
	for c.state != StateClosing {
		length, err := c.protocol.HandleMessage(in.Bytes())
		if length > 0 {
			in.Consume(length)
			c.partialSince = 0
		}
		if err != nil {
			c.fail(err)
			return
		}
		if length == 0 {
			break
		}
	}
	c.stallTimer.Stop()
	if in.Len() > 0 && c.state != StateClosing {
		c.watchStall()
	}
}

// watchStall bounds the wait for the rest of an incomplete message: all else on the
// connection waits behind it.
func (c *Connection[P]) watchStall() {
	now := c.client.Loop.Now()
	if c.partialSince == 0 {
		c.partialSince = now
	}
	deadline := now + c.client.options.StallTimeout
	if limit := c.client.options.MessageTimeout; limit > 0 {
		deadline = min(deadline, c.partialSince+limit)
	}
	c.stallTimer = c.client.Loop.Timers.Schedule(deadline, func() { c.fail(ErrMessageTimeout) })
}

// fail ends the connection, and with it its attempts, on a protocol error: where one
// message can't be read, nothing tells where the next begins.
func (c *Connection[P]) fail(err error) {
	if c.state != StateStartup && c.state != StateOpen {
		return
	}
	c.client.Log.Warn("engine.protocol-error", "engine", c.engine.ID, "error", err)
	c.beginClose(lifecycle.StatusProtocolError)
	if c.client.options.AbortOnProtocolError {
		c.socket.Abort()
	} else {
		c.socket.Close()
	}
}
