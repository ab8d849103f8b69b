package eventloop

import (
	"errors"
	"slices"
	"syscall"
)

var (
	// errWriteQueueFull ends a connection whose peer reads too slowly.
	errWriteQueueFull = errors.New("too many bytes wait to be sent")
	// errNotTCP is the error of convert for a connection that is not a TCP connection.
	errNotTCP = errors.New("the connection is not a TCP connection")
)

// localFailures are the errors of a call that failed for a reason on this machine: a signal interrupted the call, or
// this machine lacked a resource such as a table entry, buffer space or a port. These errors do not indicate a fault of
// the peer.
var localFailures = []error{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL, syscall.EAGAIN,
	syscall.EINTR,
}

// routeFailures are the errors of a dial that finds no route. If a retry succeeds at once, the fault was on this
// machine. If the errors persist, the peer counts as down.
var routeFailures = []error{syscall.ENETUNREACH, syscall.ENETDOWN, syscall.EPERM}

// IsConnectionRefused reports whether the peer's host answered the dial and refused it. It is false for a dial that
// timed out or failed on this machine.
func IsConnectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// IsLocalFailure reports whether a call failed because this machine lacked a resource or a signal interrupted the call.
func IsLocalFailure(err error) bool { return isAny(err, localFailures) }

// IsDescriptorExhausted reports whether a call failed because this process or the system has no file descriptor left.
func IsDescriptorExhausted(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}

// isTransientDialFailure reports whether a failed dial may succeed if it is retried at once.
func isTransientDialFailure(err error) bool { return IsLocalFailure(err) || isAny(err, routeFailures) }

func isAny(err error, targets []error) bool {
	return slices.ContainsFunc(targets, func(target error) bool { return errors.Is(err, target) })
}
