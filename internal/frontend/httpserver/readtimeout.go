package httpserver

import (
	"net/http"

	"flaxrelay/internal/metrics"
)

// startReadTimer limits the time until a request is complete. This protects against clients that connect and send
// nothing, or stop within a request.
func (c *connection) startReadTimer() {
	deadline := c.server.loop.Now() + c.server.options.ReadTimeout
	c.readTimer = c.server.loop.Timers.Schedule(deadline, c.onReadTimeout)
}

// stopReadTimer ends the time limit of a request that is complete.
func (c *connection) stopReadTimer() {
	c.readTimer.Stop()
	c.readTimer = nil
	c.readTimedOut = false
}

// RefusePartial implements eventloop.PartialRefuser. It rejects a request that has arrived only in part, because the
// read buffers are full. The read timer runs exactly while the rest of a request is awaited.
func (c *connection) RefusePartial() bool {
	if !c.state.awaitsRequest() || c.readTimer == nil || c.reader.unread() == 0 {
		return false
	}
	c.rejectPartial(closeReadBudget)
	return true
}

// onReadTimeout closes a connection whose request did not arrive completely in time. If a part of the request has
// arrived, the client receives an error response first. Bytes that wait to be handled are handled before: they may
// complete the request, and further requests may follow it.
func (c *connection) onReadTimeout() {
	if c.state == stateClosing {
		return
	}
	if c.closeUnused(closeReadTimeout) {
		c.server.counters.Increment(metrics.HTTPReadTimeouts)
		return
	}
	if c.socket.ReadNow() {
		c.readTimedOut = true
		return
	}
	c.rejectTimedOut()
}

// rejectTimedOut responds to a request that did not arrive completely in time.
func (c *connection) rejectTimedOut() {
	c.server.counters.Increment(metrics.HTTPReadTimeouts)
	if c.socket.AwaitsReadBudget() { // the client may have sent the rest
		c.rejectPartial(closeReadBudget)
		return
	}
	c.reject(&statusError{http.StatusRequestTimeout, "the call was not whole in time"})
}
