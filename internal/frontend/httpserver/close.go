package httpserver

import (
	"cmp"
	"log/slog"

	"flaxrelay/internal/invariant"
	"flaxrelay/internal/metrics"
)

// closeReason is the reason why a connection was closed, as in the name of the counter http.closed.REASON.
type closeReason string

// closeNone is the reason of a connection that this side does not close. It is not counted.
const closeNone = closeReason("")

// The reasons that are counted.
const (
	closeByClient       closeReason = "client"          // the client closed it
	closeByError        closeReason = "error"           // the connection broke
	closeAfterResponse  closeReason = "response"        // after a response: at the client's request or in a shutdown
	closeInvalidRequest closeReason = "invalid-request" // after the response to an invalid or incomplete request
	closeReadTimeout    closeReason = "read-timeout"    // a new client sent nothing in time
	closeIdleTimeout    closeReason = "idle"            // an idle client sent nothing for maxIdleTime
	closeEvicted        closeReason = "evicted"         // a new connection needed a descriptor
	closeReadBudget     closeReason = "read-budget"     // an incomplete request was rejected for lack of memory
	closeShutdown       closeReason = "shutdown"        // a graceful shutdown
)

// unused reports whether the connection is open and has no request in flight, no result that its client fetches page by
// page, and no unread bytes. It must not be called from OnData.
func (c *connection) unused() bool {
	return c.state.awaitsRequest() && c.state != statePaging && c.reader.unread() == 0
}

// closeUnused reads the bytes that the socket holds, and closes the connection without a response if no bytes are
// unread. It reports whether it closed the connection. Every close from this side without a response goes through
// closeUnused, so that no request that was read is lost. A call while a request is in flight closes nothing and is
// counted as a violation. Unlike unused, closeUnused ignores whether the client fetches a result page by page. It must
// not be called from OnData.
func (c *connection) closeUnused(reason closeReason) bool {
	responded := c.state != stateInFlight
	invariants := c.server.dispatcher.Invariants()
	if !invariants.Check(responded, invariant.ResponseDropped, slog.String("reason", string(reason))) {
		return false
	}
	if !c.socket.CloseIfIdle() {
		return false
	}
	c.state = stateClosing
	c.closeReason = reason
	return true
}

// write sends a response. If this is the last response of the connection, the response announces the close and the
// connection is then closed; see closesAfterResponse. write must not be called in stateClosing.
func (c *connection) write(r response) {
	if c.closesAfterResponse() {
		c.writeLast(r, cmp.Or(c.closeReason, closeAfterResponse))
		return
	}
	c.socket.Write(r.encode())
}

// closesAfterResponse reports whether the connection must be closed after the response that is about to be written.
// This is the case if the client wants it. In an eviction or a graceful shutdown, it is also the case if the client has
// no further page to fetch and no bytes are unread.
func (c *connection) closesAfterResponse() bool {
	if c.wantsClose {
		return true
	}
	if c.state != stateEvicting && !c.server.draining {
		return false
	}
	return c.state != statePaging && c.reader.unread() == 0
}

// writeLast sends a response that announces the close, and then closes the connection.
func (c *connection) writeLast(r response, reason closeReason) {
	c.socket.Write(r.encodeLast())
	c.state = stateClosing
	c.closeReason = reason
	if r.isClientError() {
		c.socket.CloseAfterLinger() // nothing more is read from the client
	} else {
		c.socket.Close()
	}
}

// reject responds to an invalid request and closes the connection. After a request that can't be parsed, the start of
// the next one is unknown. A client that keeps sending invalid requests must also connect again for each of them.
func (c *connection) reject(err *statusError) {
	c.server.counters.Increment(metrics.HTTPBadRequests)
	c.writeLast(errorResponse(err), closeInvalidRequest)
}

// rejectEvicted rejects a request that had arrived before its connection was evicted.
func (c *connection) rejectEvicted() {
	c.closeReason = closeEvicted // counted even if the client closes first
	c.write(rejectedResponse(c.server.dispatcher.RetryAfter()))
}

// rejectPartial rejects a request that has arrived only in part, and closes the connection. No part of the request was
// forwarded.
func (c *connection) rejectPartial(reason closeReason) {
	c.writeLast(rejectedResponse(c.server.dispatcher.RetryAfter()), reason)
}

// countClose counts the close of the connection by its reason. err is the socket's error, or nil if either side closed
// the socket.
func (c *connection) countClose(err error) {
	reason := c.closeReason
	switch {
	case reason != closeNone:
	case err != nil:
		reason = closeByError
	default:
		reason = closeByClient
	}
	c.server.counters.Increment(metrics.HTTPClosed.With(string(reason)))
}
