package engine

import (
	"context"
	"net"
	"syscall"
	"testing"

	"flaxrelay/internal/lifecycle"
)

// Only a dial that failed for lack of a resource on this machine says nothing about the engine.
// After a missing route the engine counts as down, so that others are chosen.
func TestDialStatus_SeparatesLocalFailuresFromThoseOfTheEngine(t *testing.T) {
	for err, want := range map[error]lifecycle.AttemptStatus{
		syscall.ECONNREFUSED:     lifecycle.StatusConnectionRefused,
		syscall.EMFILE:           lifecycle.StatusNoDescriptor,
		syscall.ENFILE:           lifecycle.StatusNoDescriptor,
		syscall.ENOBUFS:          lifecycle.StatusLocalFailure,
		syscall.EADDRNOTAVAIL:    lifecycle.StatusLocalFailure,
		syscall.ENETUNREACH:      lifecycle.StatusConnectTimeout,
		syscall.EHOSTUNREACH:     lifecycle.StatusConnectTimeout,
		syscall.ETIMEDOUT:        lifecycle.StatusConnectTimeout,
		context.DeadlineExceeded: lifecycle.StatusConnectTimeout,
	} {
		if got := dialStatus(&net.OpError{Op: "dial", Err: err}); got != want {
			t.Errorf("%v: %v, want %v", err, got, want)
		}
	}
}
