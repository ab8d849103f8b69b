package eventloop

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"flaxrelay/internal/tcptest"
)

// dialWith dials a listener through a dialer whose first calls fail with the error, and returns the number of calls and
// the error of the dial.
func dialWith(t *testing.T, failures int64, failure error) (calls int64, err error) {
	t.Helper()
	l, _ := startLoop(t)
	listener := tcptest.Listen(t, tcptest.AnyLoopbackPort)
	var made atomic.Int64
	l.dialer.dialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		if made.Add(1) <= failures {
			return nil, &net.OpError{Op: "dial", Err: failure}
		}
		return new(net.Dialer).DialContext(ctx, network, addr)
	}
	done := make(chan error, 1)
	handler := &recorder{closed: make(chan error, 1)}
	l.Dial(listener.Addr().String(), time.Second, readSize, handler, func(_ *Conn, err error) { done <- err })
	err = <-done
	return made.Load(), err
}

// A dial that fails because this machine lacks a resource is retried within its timeout: the peer is not at fault, and
// the next attempt may succeed.
func TestDial_RetriesLocalFailures(t *testing.T) {
	for _, failure := range []error{
		unix.EADDRNOTAVAIL, unix.ENETUNREACH, unix.ENOBUFS, unix.ENFILE, unix.EMFILE, unix.EINTR,
	} {
		if calls, err := dialWith(t, 3, failure); err != nil || calls != 4 {
			t.Errorf("%v: got %v after %d calls", failure, err, calls)
		}
	}
}

// A local failure that persists is reported after dialRetryTime, and a failure of the peer at once.
func TestDial_ReportsLastingFailures(t *testing.T) {
	const always = 1 << 40
	startedAt := time.Now()
	if calls, err := dialWith(t, always, unix.ENOBUFS); !errors.Is(err, unix.ENOBUFS) || calls < 2 {
		t.Errorf("got %v after %d calls", err, calls)
	}
	if took := time.Since(startedAt); took > 500*time.Millisecond {
		t.Errorf("reported after %v", took)
	}
	if calls, err := dialWith(t, always, unix.ECONNREFUSED); !IsConnectionRefused(err) || calls != 1 {
		t.Errorf("got %v after %d calls", err, calls)
	}
}

// A cancelled dial ends at once, with the error of its cancellation.
func TestDial_EndsWhenItIsCancelled(t *testing.T) {
	l, _ := startLoop(t)
	l.dialer.dialContext = func(ctx context.Context, _, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	done := make(chan error, 1)
	cancel := l.Dial("127.0.0.1:1", time.Hour, readSize, &recorder{}, func(_ *Conn, err error) { done <- err })
	cancel()
	if err := <-done; !errors.Is(err, context.Canceled) {
		t.Errorf("got %v, want %v", err, context.Canceled)
	}
}
