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
	// maxBacklogFailures is the number of failed accepts after which the rest of a backlog is given up.
	maxBacklogFailures = 20
	// backlogRetryDelay is the pause after a failed accept.
	backlogRetryDelay = time.Millisecond
)

// errBacklogEmpty ends the draining of a backlog.
var errBacklogEmpty = errors.New("no connection waits to be accepted")

// drainingListener is a listener whose Close hands the connections of its backlog to the loop. The kernel has accepted
// these: their clients may have sent a request, and closing the listener alone would reset them.
type drainingListener struct {
	net.Listener
	acceptor *acceptor
}

// Close implements net.Listener. It may be called from any goroutine.
func (l *drainingListener) Close() error {
	l.acceptor.drainBacklog()
	return l.Listener.Close()
}

// drainBacklog hands the connections that wait to be accepted to the loop, also beyond the limit of open connections.
func (a *acceptor) drainBacklog() {
	tcp, ok := a.listener.(*net.TCPListener)
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
			a.adoptAccepted(descriptor)
		}
	}
}

// acceptWaiting accepts a connection without blocking. It returns errBacklogEmpty if none waits, or if the listener has
// been closed already.
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

// adoptAccepted hands an accepted descriptor to the loop.
func (a *acceptor) adoptAccepted(descriptor int) {
	_ = unix.SetsockoptInt(descriptor, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1) // its failure only costs speed
	s := newSocket(descriptor)
	a.loop.Post(func() {
		// A socket that cannot be polled is closed: nothing could be sent to its client.
		_, _ = a.loop.adopt(s, a.readLimit, a.newHandler, func() {})
	})
}
