package engine

import (
	"errors"
	"log/slog"
	"time"

	"flaxrelay/internal/eventloop"
	"flaxrelay/internal/lifecycle"
	"flaxrelay/internal/logevent"
	"flaxrelay/internal/timerqueue"
)

// errMessageTimeout is the protocol error of a message that stays incomplete for too long.
var errMessageTimeout = errors.New("timed out waiting for the rest of a message")

// messageTimer limits how long a message may be incomplete, because an incomplete message blocks all
// later messages on its connection.
type messageTimer struct {
	timer *timerqueue.Timer
	// partialSince is when the first bytes of the incomplete message were read, by the
	// event loop's clock; 0: no message is incomplete.
	partialSince time.Duration
	// extended means that the timer has expired while bytes waited to be handled.
	extended bool
}

// messageRead records that a message is complete.
func (t *messageTimer) messageRead() {
	t.partialSince = 0
	t.extended = false
}

// stop stops the timer. It keeps partialSince: OnData stops the timer after each read, and starts
// it again if the message is still incomplete.
func (t *messageTimer) stop() { t.timer.Stop() }

// start starts the timer after bytes of an incomplete message have arrived. The timer must not be
// running already. It expires StallTimeout later, or MessageTimeout after the first bytes of the
// message if that is earlier.
func (t *messageTimer) start(loop *eventloop.Loop, options Options, expired func()) {
	now := loop.Now()
	if t.partialSince == 0 {
		t.partialSince = now
	}
	deadline := now + options.StallTimeout
	if options.MessageTimeout > 0 {
		deadline = min(deadline, t.partialSince+options.MessageTimeout)
	}
	t.timer = loop.Timers.Schedule(deadline, expired)
}

// OnData passes each complete message of the buffer to the protocol. The event loop calls it.
func (c *Connection[P]) OnData(_ *eventloop.Conn, in *eventloop.Buffer) {
	for c.state != StateClosing {
		size, err := c.protocol.HandleMessage(in.Bytes())
		if size > 0 {
			in.Consume(size)
			c.messageTimer.messageRead()
		}
		if err != nil {
			c.fail(err)
			return
		}
		if size == 0 {
			break
		}
	}
	c.messageTimer.stop()
	if in.Len() > 0 && c.state != StateClosing {
		c.messageTimer.start(c.client.Loop, c.client.options, c.onMessageTimeout)
	}
}

// onMessageTimeout closes a connection whose message stays incomplete. Bytes that have arrived by then
// are handled first, once for each message: the event loop may have been busy, or the process stopped,
// when they arrived.
func (c *Connection[P]) onMessageTimeout() {
	if c.state != StateStartup && c.state != StateOpen {
		return
	}
	if !c.messageTimer.extended && c.socket.ReadNow() {
		c.messageTimer.extended = true // OnData starts the timer again if the message is still incomplete
		return
	}
	c.fail(errMessageTimeout)
}

// fail closes the connection after a protocol error, because the start of the next message is
// unknown. The close also ends the attempts on the connection.
func (c *Connection[P]) fail(err error) {
	if c.state != StateStartup && c.state != StateOpen {
		return
	}
	logevent.EngineProtocolError.Log(c.client.Log, slog.String("engine", c.engine.ID), slog.Any("error", err))
	c.beginClose(lifecycle.StatusProtocolError)
	if c.client.options.AbortOnProtocolError {
		c.socket.Abort()
	} else {
		c.socket.Close()
	}
}
