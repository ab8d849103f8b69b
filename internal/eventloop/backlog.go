package eventloop

import (
	"errors"
	"net"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// backlogAttempts bounds the accepts that fail for a passing reason at a listener's close,
	// and backlogRetryDelay is the pause after each.
	backlogAttempts   = 20
	backlogRetryDelay = time.Millisecond
)

// drainingListener is a listener whose Close serves the connections of its backlog. The kernel
// has accepted these: their clients may have sent a request, and closing the listener alone
// would reset them.
type drainingListener struct {
	net.Listener
	acceptor *acceptor
}

// Close implements net.Listener.
func (l *drainingListener) Close() error {
	l.acceptor.drainBacklog()
	return l.Listener.Close()
}

// drainBacklog hands over what waits to be accepted, without regard to the limit of open
// connections.
func (a *acceptor) drainBacklog() {
	tcp, ok := a.listener.(*net.TCPListener)
	if !ok {
		return
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	for failures := 0; failures < backlogAttempts; {
		descriptor, acceptErr := -1, error(nil)
		controlErr := raw.Control(func(fd uintptr) {
			descriptor, _, acceptErr = unix.Accept4(int(fd), unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		})
		switch {
		case controlErr != nil, errors.Is(acceptErr, unix.EAGAIN): // closed already, or nothing waits
			return
		case acceptErr != nil:
			failures++
			time.Sleep(backlogRetryDelay)
		default:
			a.adoptAccepted(descriptor)
		}
	}
}

// adoptAccepted hands an accepted descriptor to the loop.
func (a *acceptor) adoptAccepted(descriptor int) {
	_ = unix.SetsockoptInt(descriptor, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1) // only a matter of speed
	s := &socket{descriptor: descriptor, system: kernel, interest: readEvents}
	a.loop.Post(func() {
		// A socket that can't be polled is closed: there is no way to answer its client.
		_, _ = a.loop.adopt(s, a.readLimit, a.newHandler, func() {})
	})
}
