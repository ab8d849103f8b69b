package engine

import (
	"context"
	"net"
	"syscall"
	"testing"

	"flaxrelay/internal/lifecycle"
)

// A dial that failed because this machine lacks a resource does not indicate a failure of the
// engine. Every other failed dial does: without a route to the engine, for example, the engine
// counts as down, so that other engines are chosen.
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
