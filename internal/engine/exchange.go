package engine

import "flaxrelay/internal/lifecycle"

// Exchange is one attempt on a connection: its request, and what has arrived of the response.
// A protocol's client stores it in Attempt.ClientData when it puts the attempt on a connection.
type Exchange interface {
	// Written reports whether any of the request has been written.
	Written() bool
	// Abandon removes the attempt from its connection before its end. If the request is
	// written, the engine is notified where the protocol and the settings provide for it.
	Abandon()
}

// Abandon abandons an attempt that has not ended. It is part of lifecycle.EngineClient.
func (c *Client[P]) Abandon(attempt *lifecycle.Attempt) {
	if exchange, ok := attempt.ClientData.(Exchange); ok {
		exchange.Abandon()
	}
}

// Withdraw takes back an attempt whose request is not written yet, and reports whether it
// could. It is part of lifecycle.EngineClient.
func (c *Client[P]) Withdraw(attempt *lifecycle.Attempt) bool {
	exchange, ok := attempt.ClientData.(Exchange)
	if !ok || exchange.Written() {
		return false
	}
	exchange.Abandon()
	return true
}
