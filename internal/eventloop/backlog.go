package eventloop

import (
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// maxBacklogFailures is the number of failed accepts after which the rest of a backlog is abandoned.
	maxBacklogFailures = 20
	// backlogRetryDelay is the pause after a failed accept.
	backlogRetryDelay = time.Millisecond
)

// errBacklogEmpty means that no connection waits to be accepted.
var errBacklogEmpty = errors.New("no connection waits to be accepted")

// Close implements net.Listener. It first accepts the connections of the backlog. The kernel has established these
// connections, and their clients may have sent requests. If only the listener were closed, the connections would be
// reset. Close may be called from any goroutine.
func (a *acceptor) Close() error {
	a.acceptBacklog()
	return a.Listener.Close()
}

// acceptBacklog hands the connections that wait to be accepted to the loop, even beyond the limit of open connections.
func (a *acceptor) acceptBacklog() {
	tcp, ok := a.Listener.(*net.TCPListener)
	if !ok {
		return
	}
	listener, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	for failures := 0; failures < maxBacklogFailures; {
		descriptor, err := acceptWaiting(listener)
		switch {
		case errors.Is(err, errBacklogEmpty):
			return
		case err != nil:
			failures++
			time.Sleep(backlogRetryDelay)
		default:
			a.adoptDescriptor(descriptor)
		}
	}
}

// acceptWaiting accepts a connection without blocking. It returns errBacklogEmpty if no connection waits, or if the
// listener has been closed already.
func acceptWaiting(listener syscall.RawConn) (descriptor int, err error) {
	controlErr := listener.Control(func(fd uintptr) {
		descriptor, _, err = unix.Accept4(int(fd), unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
	})
	switch {
	case controlErr != nil, errors.Is(err, unix.EAGAIN):
		return -1, errBacklogEmpty
	case err != nil:
		return -1, fmt.Errorf("accept: %w", err)
	}
	return descriptor, nil
}

// adoptDescriptor hands an accepted descriptor to the loop.
func (a *acceptor) adoptDescriptor(descriptor int) {
	_ = unix.SetsockoptInt(descriptor, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1) // a failure affects only the latency
	s := newSocket(descriptor)
	a.adopt(s, func() {}) // the connection occupies no slot
}
