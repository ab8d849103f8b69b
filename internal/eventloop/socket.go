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

// systemCalls are the system calls by which a socket reads and writes. Tests replace them to make calls fail.
type systemCalls struct {
	read  func(descriptor int, p []byte) (int, error)
	write func(descriptor int, p []byte) (int, error)
}

// kernel holds the real system calls.
var kernel = systemCalls{read: unix.Read, write: unix.Write}

// The sets of events for reading that the poller may wait for. The kernel reports errors and resets in any case.
const (
	// readEvents are received bytes, and the end of the stream. The end is reported as soon as it has arrived, even
	// while bytes before it are unread.
	readEvents = unix.EPOLLIN | unix.EPOLLRDHUP
	// streamEndEvents is only the end of the stream.
	streamEndEvents = unix.EPOLLRDHUP
	// noReadEvents is the empty set, for a socket that is not read because the buffer is full or awaits its budget.
	noReadEvents = 0
)

// maxDataAge limits the result of lastDataAge. The deadline of a request that waited longer has passed in any case.
const maxDataAge = time.Minute

// socketOwner is notified of a socket's events, on the poller's goroutine or on the goroutine of the call that caused
// the event.
type socketOwner interface {
	// readable reads what the socket holds, using scratch for each read. The socket's mutex is not held.
	readable(scratch []byte, mode readMode)
	// bytesSent reports that n bytes were sent. The socket's mutex is held.
	bytesSent(n int)
	// writeFailed reports, once, that nothing can be sent any more. The socket is still open, since it may hold bytes
	// that the peer sent before. The socket's mutex is not held; the reader's mutex may be held.
	writeFailed(err error)
	// socketClosed reports, once, that the socket is closed. The socket's mutex is not held; the reader's mutex may be
	// held.
	socketClosed(err error)
}

// socketState defines the operations that a socket still supports. It only advances in the order of the constants.
type socketState int

const (
	// socketOpen: the socket sends and receives.
	socketOpen socketState = iota
	// socketWriteFailed: the socket can still be read.
	socketWriteFailed
	// socketClosed: the descriptor is closed and must not be used.
	socketClosed
)

// socket is one connected, non-blocking TCP socket. It makes the system calls, queues what the kernel does not accept
// at once, and sets the events that the poller waits for. Its methods may be called from any goroutine.
type socket struct {
	descriptor int
	poller     *poller     // set before poller.add
	owner      socketOwner // set before poller.add
	token      uint64      // set by poller.add

	mu       sync.Mutex
	system   systemCalls // guarded by mu, as are the fields below
	state    socketState
	queue    sendQueue
	interest uint32 // the events that the poller waits for
}

// newSocket returns a socket that owns the descriptor.
func newSocket(descriptor int) *socket {
	return &socket{descriptor: descriptor, system: kernel, interest: readEvents}
}

// convert returns a socket with a duplicate of the connection's descriptor, and closes the connection. If it fails, the
// connection stays open.
func convert(conn net.Conn) (*socket, error) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return nil, errNotTCP
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
	return newSocket(descriptor), nil
}

// handle handles an event of the poller, on the poller's goroutine. It reads before it sends, so that bytes that the
// peer has sent are delivered even if the send fails.
func (s *socket) handle(events uint32, scratch []byte) {
	switch {
	case events&unix.EPOLLIN != 0:
		s.owner.readable(scratch, readModeFor(events))
	case events&(unix.EPOLLERR|unix.EPOLLHUP|unix.EPOLLRDHUP) != 0:
		s.close(s.pendingError())
	}
	if events&unix.EPOLLOUT != 0 {
		s.flush()
	}
}

// readModeFor returns how far a socket with these events is read. If the peer has ended the stream, everything is read
// before the data is handed to the handler, so that the handler does not act for a client that has disconnected.
func readModeFor(events uint32) readMode {
	if events&unix.EPOLLRDHUP != 0 {
		return readUntilEmpty
	}
	return readUntilShort
}

// pendingError returns the error that the kernel has recorded for the socket (SO_ERROR), or nil.
func (s *socket) pendingError() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state == socketClosed {
		return nil
	}
	code, err := unix.GetsockoptInt(s.descriptor, unix.SOL_SOCKET, unix.SO_ERROR)
	if err != nil || code == 0 {
		return nil
	}
	return syscall.Errno(code) //nolint:wrapcheck // the error of the connection, as read and write return it
}

// read reads once. Its error is EAGAIN if the socket holds no bytes. At the end of the stream it returns 0 without an
// error.
func (s *socket) read(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state == socketClosed {
		return 0, net.ErrClosed
	}
	for {
		n, err := s.system.read(s.descriptor, p)
		if !errors.Is(err, unix.EINTR) {
			return max(n, 0), err
		}
	}
}

// lastDataAge returns how long ago the peer's latest bytes arrived, or 0 if that is unknown.
func (s *socket) lastDataAge() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state == socketClosed {
		return 0
	}
	info, err := unix.GetsockoptTCPInfo(s.descriptor, unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return 0
	}
	return min(time.Duration(info.Last_data_recv)*time.Millisecond, maxDataAge)
}

// setReadInterest sets the events for reading that the poller waits for. It does not change whether the poller waits
// until the socket can send.
func (s *socket) setReadInterest(events uint32) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state != socketClosed {
		s.setInterestLocked(events | s.interest&unix.EPOLLOUT)
	}
}

// setInterestLocked sets all events that the poller waits for.
func (s *socket) setInterestLocked(events uint32) {
	if events == s.interest {
		return
	}
	s.interest = events
	// This fails only if the poller does not have the descriptor, such as after poller.stop.
	_ = s.poller.control(unix.EPOLL_CTL_MOD, s.descriptor, s.token, events)
}

// shutdownWrite shuts the write side, and thereby ends the stream to the peer.
func (s *socket) shutdownWrite() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state == socketClosed {
		return net.ErrClosed
	}
	if err := unix.Shutdown(s.descriptor, unix.SHUT_WR); err != nil {
		return fmt.Errorf("shutdown: %w", err)
	}
	return nil
}

// close closes the socket at once and drops the queued bytes. Only the first call notifies the owner, with its error.
func (s *socket) close(err error) {
	if s.closeDescriptor() && s.owner != nil {
		s.owner.socketClosed(err)
	}
}

// closeDescriptor closes the descriptor, and reports whether it was open. It first removes the socket from the poller.
// One reason for this order is given at poller.remove. The other is that a removal after the close might affect another
// socket, because the kernel reuses the number of a closed descriptor.
func (s *socket) closeDescriptor() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state == socketClosed {
		return false
	}
	s.state = socketClosed
	s.queue.clear()
	if s.poller != nil {
		s.poller.remove(s)
	}
	_ = unix.Close(s.descriptor)
	return true
}
