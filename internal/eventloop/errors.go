package eventloop

import (
	"errors"
	"slices"
	"syscall"
)

// errBufferBudgetExceeded closes a connection whose read buffer would take more than
// what is left of Loop.BufferBudget.
var errBufferBudgetExceeded = errors.New("the buffers of all connections are full")

// IsConnectionRefused reports whether the peer's host answered the dial and refused
// it, as opposed to a dial that timed out or failed on this side.
func IsConnectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// localFailures are the errors of a dial that come from this machine and pass: its tables,
// buffers, ports or routes. They say nothing of the peer.
var localFailures = []error{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL, syscall.ENETUNREACH,
	syscall.ENETDOWN, syscall.EAGAIN, syscall.EINTR, syscall.EPERM,
}

// IsLocalFailure reports whether a dial failed on this side.
func IsLocalFailure(err error) bool {
	return slices.ContainsFunc(localFailures, func(failure error) bool { return errors.Is(err, failure) })
}

// IsDescriptorExhausted reports whether a call failed because this process or the
// system has no file descriptor left.
func IsDescriptorExhausted(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}
