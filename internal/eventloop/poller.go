package eventloop

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// readSize is the size of one read, in bytes. A connection whose read-ahead is limited is no longer read once this
	// many bytes are unread.
	readSize = 32 << 10

	// eventsPerWait is the largest number of events that one wait returns.
	eventsPerWait = 256

	// waitRetryDelay is the pause after a failed wait, unless a signal interrupted it.
	waitRetryDelay = 10 * time.Millisecond

	// wakeUpToken is the token of the poller's eventfd.
	wakeUpToken = 0

	// tokenHighShift is the position, in bits, of a token's upper half, which unix.EpollEvent.Pad carries. Fd carries
	// the lower half.
	tokenHighShift = 32
)

// poller waits for the events of all sockets, on a separate goroutine. It uses a level-triggered epoll(7): a socket
// raises events as long as it has bytes to read or can send. A read or a write that was cut short or interrupted is
// therefore always followed by another. The poller's methods may be called from any goroutine.
type poller struct {
	epoll   int
	wakeUp  int           // an eventfd: readable once the poller must stop
	stopped chan struct{} // closed once the poller's goroutine has stopped

	mu        sync.Mutex
	sockets   map[uint64]*socket // guarded by mu; by token
	lastToken uint64             // guarded by mu
}

// startPoller returns a poller and starts its goroutine.
func startPoller() (*poller, error) {
	epoll, err := unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	if err != nil {
		return nil, fmt.Errorf("epoll_create1: %w", err)
	}
	wakeUp, err := unix.Eventfd(0, unix.EFD_NONBLOCK|unix.EFD_CLOEXEC)
	if err != nil {
		_ = unix.Close(epoll)
		return nil, fmt.Errorf("eventfd: %w", err)
	}
	p := &poller{epoll: epoll, wakeUp: wakeUp, stopped: make(chan struct{}), sockets: map[uint64]*socket{}}
	if err := p.control(unix.EPOLL_CTL_ADD, wakeUp, wakeUpToken, unix.EPOLLIN); err != nil {
		p.closeDescriptors()
		return nil, err
	}
	go p.run()
	return p, nil
}

// control changes the events for which the poller waits on a descriptor. The kernel returns the token with each event.
func (p *poller) control(operation, descriptor int, token uint64, events uint32) error {
	event := unix.EpollEvent{Events: events, Fd: int32(token), Pad: int32(token >> tokenHighShift)}
	if err := unix.EpollCtl(p.epoll, operation, descriptor, &event); err != nil {
		return fmt.Errorf("epoll_ctl: %w", err)
	}
	return nil
}

// tokenOf returns the token that was passed to control for the event's descriptor.
func tokenOf(event *unix.EpollEvent) uint64 {
	return uint64(uint32(event.Fd)) | uint64(uint32(event.Pad))<<tokenHighShift
}

// add starts to poll a socket. Tokens are never reused, so that a late event of a closed socket finds no socket, even
// if another socket has the same descriptor by then.
func (p *poller) add(s *socket) error {
	p.mu.Lock()
	p.lastToken++
	s.token = p.lastToken
	p.sockets[s.token] = s
	p.mu.Unlock()
	s.mu.Lock() // the first event may arrive, and change the interest, before control returns
	err := p.control(unix.EPOLL_CTL_ADD, s.descriptor, s.token, s.interest)
	s.mu.Unlock()
	if err != nil {
		p.remove(s)
	}
	return err
}

// remove stops polling a socket. It must be called before the socket's descriptor is closed.
//
// Closing a descriptor also ends the kernel's wait for it. But epoll_wait holds references to sockets while it examines
// them. A socket whose descriptor is closed meanwhile stays open until that call returns, which may take a long time,
// and until then its peer is not notified of the close. EPOLL_CTL_DEL returns only when epoll_wait holds no reference
// to the socket.
func (p *poller) remove(s *socket) {
	p.mu.Lock()
	delete(p.sockets, s.token)
	p.mu.Unlock()
	// This fails only if the poller does not have the descriptor, such as after a failed add or after stop.
	_ = p.control(unix.EPOLL_CTL_DEL, s.descriptor, s.token, 0)
}

// find returns the socket of a token, or nil if it was removed.
func (p *poller) find(token uint64) *socket {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.sockets[token]
}

// run passes events to the sockets until stop.
func (p *poller) run() {
	defer close(p.stopped)
	events := make([]unix.EpollEvent, eventsPerWait)
	scratch := make([]byte, readSize)
	for {
		n, err := unix.EpollWait(p.epoll, events, -1)
		switch {
		case errors.Is(err, unix.EINTR):
			continue
		case err != nil:
			time.Sleep(waitRetryDelay)
			continue
		}
		for i := range events[:n] {
			token := tokenOf(&events[i])
			if token == wakeUpToken {
				p.closeDescriptors()
				return
			}
			if s := p.find(token); s != nil {
				s.handle(events[i].Events, scratch)
			}
		}
	}
}

// stop stops the poller's goroutine and waits until it has stopped, at most for the timeout.
func (p *poller) stop(timeout time.Duration) {
	const increment = "\x01\x00\x00\x00\x00\x00\x00\x00" // a 64-bit integer that is positive in either byte order
	for {
		if _, err := unix.Write(p.wakeUp, []byte(increment)); !errors.Is(err, unix.EINTR) {
			break
		}
	}
	select {
	case <-p.stopped:
	case <-time.After(timeout):
	}
}

func (p *poller) closeDescriptors() {
	_ = unix.Close(p.wakeUp)
	_ = unix.Close(p.epoll)
}
