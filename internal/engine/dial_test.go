package engine

import (
	"context"
	"net"
	"syscall"
	"testing"

	"flaxrelay/internal/lifecycle"
)

// Only a dial that lacked something on this machine says nothing of the engine. A missing route
// that stays makes the engine count as down, so that others are chosen.
func TestDialStatus(t *testing.T) {
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
