package pgserver

import (
	"time"

	"flaxrelay/internal/metrics"
)

// stallTimeout is how long a client may send nothing while a message is incomplete.
const stallTimeout = 2 * time.Second

// startStallTimer limits the time until the client sends more of a message that has arrived only in part. Each further
// part restarts the timer, because a slow client may need longer than stallTimeout for a large message.
func (c *connection) startStallTimer() {
	c.stallTimer = c.server.loop.Timers.Schedule(c.server.loop.Now()+stallTimeout, c.onStall)
}

func (c *connection) stopStallTimer() {
	c.stallTimer.Stop()
	c.stallTimer = nil
}

// onStall ends the connection of a client that has stopped within a message. It does nothing if bytes have arrived that
// wait to be handled.
func (c *connection) onStall() {
	if c.socket.ReadNow() { // OnData starts the timer again if the message is still incomplete
		return
	}
	if c.socket.AwaitsReadBudget() { // the client may have sent the rest
		c.refusePartial()
		return
	}
	c.server.counters.Increment(metrics.PostgresStalled)
	c.fatal(newError(codeProtocolViolation, "a message stopped in the middle"))
}

// RefusePartial implements eventloop.PartialRefuser. It rejects a message that has arrived only in part, because the
// read buffers are full.
func (c *connection) RefusePartial() bool {
	if c.stallTimer == nil || c.socket.UnreadBytes() == 0 {
		return false
	}
	c.refusePartial()
	return true
}

func (c *connection) refusePartial() {
	c.server.counters.Increment(metrics.PostgresReadBudget)
	c.fatal(newError(codeOutOfMemory, "the gateway holds too many incomplete messages"))
}
