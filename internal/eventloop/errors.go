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

// localFailures are the errors of a call that lacked something on this machine: room in its
// tables or buffers, a port. They say nothing of the peer.
var localFailures = []error{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL, syscall.EAGAIN, syscall.EINTR,
}

// routeFailures are the errors of a dial without a route. One that passes at once is this
// machine's; one that stays is as good as a peer that is down.
var routeFailures = []error{syscall.ENETUNREACH, syscall.ENETDOWN, syscall.EPERM}

// IsLocalFailure reports whether a call failed for want of something on this side.
func IsLocalFailure(err error) bool { return isAny(err, localFailures) }

// mayPass reports whether a failed dial is worth another at once.
func mayPass(err error) bool { return IsLocalFailure(err) || isAny(err, routeFailures) }

func isAny(err error, targets []error) bool {
	return slices.ContainsFunc(targets, func(target error) bool { return errors.Is(err, target) })
}

// IsDescriptorExhausted reports whether a call failed because this process or the
// system has no file descriptor left.
func IsDescriptorExhausted(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}
