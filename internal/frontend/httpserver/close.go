package httpserver

import (
	"flaxrelay/internal/invariant"
)

// busyBody is the body of a rejection.
const busyBody = `{"fault":"Busy"}`

// closeReason says why a connection ended. It is the last word of the counter
// http.closed.REASON.
type closeReason string

// The reasons.
const (
	closeByClient       closeReason = "client"          // the client closed it
	closeByError        closeReason = "error"           // the connection broke
	closeBehindResponse closeReason = "response"        // the response said so
	closeInvalidRequest closeReason = "invalid-request" // behind the response to one
	closeReadTimeout    closeReason = "read-timeout"    // no request came in time
	closeIdleTimeout    closeReason = "idle"            // no request came for long
	closeEvicted        closeReason = "evicted"         // others needed its place
	closeShutdown       closeReason = "shutdown"        // a graceful shutdown
)

// closeUnused closes a connection on which nothing is open, and reports whether it could: a
// request, or a part of one, that has arrived meanwhile is owed an answer. Every close from this
// side without a response goes through here.
func (c *connection) closeUnused(reason closeReason) bool {
	answered := c.state != stateInFlight
	if !c.server.dispatcher.Invariants().Check(answered, invariant.ResponseDropped, "reason", string(reason)) {
		return false
	}
	if !c.socket.CloseIfIdle() {
		return false
	}
	c.state, c.closeReason = stateClosing, reason
	return true
}

// countClose counts the end of the connection by its reason.
func (c *connection) countClose(err error) {
	reason := c.closeReason
	switch {
	case reason != "":
	case err != nil:
		reason = closeByError
	default:
		reason = closeByClient
	}
	c.server.counters.IncrementByName("http.closed." + string(reason))
}
