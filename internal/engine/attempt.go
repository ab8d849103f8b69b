package engine

import "flaxrelay/internal/lifecycle"

// AttemptHandle is a protocol's access to one attempt on a connection. The protocol stores it in
// Attempt.ClientData when it puts the attempt on the connection.
type AttemptHandle interface {
	// Written reports whether any part of the request has been written.
	Written() bool
	// Abandon removes the attempt from its connection. The attempt must not have ended. A written
	// request is cancelled if the protocol and the settings permit that.
	Abandon()
}

// Abandon abandons an attempt that has not ended. It is part of lifecycle.EngineClient.
func (c *Client[P]) Abandon(attempt *lifecycle.Attempt) {
	if handle, ok := attempt.ClientData.(AttemptHandle); ok {
		handle.Abandon()
	}
}

// Withdraw abandons an attempt whose request is not written yet, and reports whether it did so.
// It is part of lifecycle.EngineClient.
func (c *Client[P]) Withdraw(attempt *lifecycle.Attempt) bool {
	handle, ok := attempt.ClientData.(AttemptHandle)
	if !ok || handle.Written() {
		return false
	}
	handle.Abandon()
	return true
}
