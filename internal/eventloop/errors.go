package eventloop

import (
	"errors"
	"syscall"
)

// errBufferBudgetExceeded closes a connection whose read buffer would take more than
// what is left of Loop.BufferBudget.
var errBufferBudgetExceeded = errors.New("the buffers of all connections are full")

// IsConnectionRefused reports whether the peer's host answered the dial and refused
// it, as opposed to a dial that timed out or failed on this side.
func IsConnectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// IsDescriptorExhausted reports whether a call failed because this process or the
// system has no file descriptor left.
func IsDescriptorExhausted(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}
