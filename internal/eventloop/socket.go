package eventloop

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

var (
	// errWriteQueueFull closes a connection whose peer reads too slowly.
	errWriteQueueFull = errors.New("too many bytes wait to be sent")
	// errNoDescriptor means that a connection of another kind than TCP was converted.
	errNoDescriptor = errors.New("the connection has no descriptor")
)

// system holds the system calls that a socket makes, so that a test can make them fail.
type system struct {
	read  func(descriptor int, p []byte) (int, error)
	write func(descriptor int, p []byte) (int, error)
}

// kernel makes the system calls themselves.
var kernel = system{read: unix.Read, write: unix.Write}

// readEvents are the events of a socket that is being read: bytes, and the end of the
// stream as soon as it has arrived behind them.
const readEvents = unix.EPOLLIN | unix.EPOLLRDHUP

// socketEvents is notified of a socket's events, on the poller's goroutine or on that of
// the call which caused them.
type socketEvents interface {
	// read takes what has arrived. Where the peer has ended the stream it reads up to
	// the end, if it can; see Conn.read.
	read(chunk []byte, streamEnded bool)
	// bytesWritten reports that n bytes of the queue were sent.
	bytesWritten(n int)
	// writeFailed reports, once, that nothing can be sent any more. The socket is still
	// open, since the peer may have sent something before.
	writeFailed(err error)
	// ended reports, once, that the socket is closed.
	ended(err error)
}

// socket is one connected, non-blocking TCP socket. Its methods may be called from any
// goroutine.
type socket struct {
	descriptor int
	system     system
	poller     *poller
	token      uint64       // set by poller.add
	owner      socketEvents // set before poller.add

	mu       sync.Mutex
	closed   bool   // guarded by mu, as are those below
	broken   bool   // a write has failed
	queue    []byte // what waits to be sent
	sent     int    // bytes at the start of queue that have been sent
	interest uint32 // the events that the poller waits for
}

// convert makes a TCP connection a socket, for which it takes a second descriptor for a
// moment. The connection is closed where that succeeds.
func convert(conn net.Conn) (*socket, error) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return nil, errNoDescriptor
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return nil, fmt.Errorf("descriptor of the connection: %w", err)
	}
	descriptor := -1
	controlErr := raw.Control(func(fd uintptr) { descriptor, err = unix.Dup(int(fd)) })
	if err = errors.Join(controlErr, err); err != nil {
		return nil, fmt.Errorf("dup: %w", err)
	}
	unix.CloseOnExec(descriptor)
	_ = conn.Close()
	return &socket{descriptor: descriptor, system: kernel, interest: readEvents}, nil
}

// handle handles an event of the poller.
func (s *socket) handle(events uint32, readBuffer []byte) {
	switch { // before the flush: what the peer has sent counts even if that fails
	case events&unix.EPOLLIN != 0:
		s.owner.read(readBuffer, events&unix.EPOLLRDHUP != 0)
	case events&(unix.EPOLLERR|unix.EPOLLHUP|unix.EPOLLRDHUP) != 0:
		s.close(s.pendingError())
	}
	if events&unix.EPOLLOUT != 0 {
		s.flush()
	}
}

// pendingError returns the error that the kernel holds for the socket, or nil.
func (s *socket) pendingError() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil
	}
	code, err := unix.GetsockoptInt(s.descriptor, unix.SOL_SOCKET, unix.SO_ERROR)
	if err != nil || code == 0 {
		return nil
	}
	return syscall.Errno(code)
}

// read reads once. Its error is EAGAIN where nothing has arrived; at the end of the stream
// it returns 0 without an error.
func (s *socket) read(p []byte) (n int, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return 0, net.ErrClosed
	}
	for {
		n, err = s.system.read(s.descriptor, p)
		if !errors.Is(err, unix.EINTR) {
			return max(n, 0), err
		}
	}
}

// maxDataAge bounds lastDataAge: whatever waited longer has no time left in any case.
const maxDataAge = time.Minute

// lastDataAge returns how long ago the peer's latest bytes arrived; 0 where the kernel doesn't
// tell.
func (s *socket) lastDataAge() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return 0
	}
	info, err := unix.GetsockoptTCPInfo(s.descriptor, unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return 0
	}
	return min(time.Duration(info.Last_data_recv)*time.Millisecond, maxDataAge)
}

// waitFor sets which of readEvents the poller waits for.
func (s *socket) waitFor(events uint32) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closed {
		s.setInterest(events | s.interest&unix.EPOLLOUT)
	}
}

// setInterest sets what the poller waits for. The caller holds mu.
func (s *socket) setInterest(events uint32) {
	if events == s.interest {
		return
	}
	s.interest = events
	// Fails only for a descriptor that the poller doesn't have, as after its end.
	_ = s.poller.control(unix.EPOLL_CTL_MOD, s.descriptor, s.token, events)
}

// shutdownWrite ends the sending direction.
func (s *socket) shutdownWrite() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return net.ErrClosed
	}
	return unix.Shutdown(s.descriptor, unix.SHUT_WR)
}

// close closes the socket at once and drops what is queued. The first call counts.
func (s *socket) close(err error) {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return
	}
	s.closed = true
	s.queue = nil
	if s.poller != nil {
		s.poller.remove(s)
	}
	_ = unix.Close(s.descriptor)
	s.mu.Unlock()
	if s.owner != nil {
		s.owner.ended(err)
	}
}
