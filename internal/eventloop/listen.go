package eventloop

import (
	"errors"
	"net"
	"syscall"
	"time"
)

// acceptRetryDelay is the pause after a failed accept. It prevents a busy loop while the
// descriptor table is full: the listener stays readable all that time.
const acceptRetryDelay = 20 * time.Millisecond

// maxConvertAttempts bounds how often an accepted connection waits for a descriptor.
const maxConvertAttempts = 250

// acceptor accepts the connections of one listener, on a goroutine of its own.
type acceptor struct {
	loop       *Loop
	listener   net.Listener
	readLimit  int
	newHandler func(*Conn) Handler
	slots      chan struct{} // one value for each open connection; nil: no limit
}

// Listen accepts connections at the address until the returned listener is closed. The
// handler of each is what newHandler returns, on the loop's goroutine; its read buffer
// holds up to readLimit bytes. Closing the listener hands over what still waits to be
// accepted, beyond maxConnections if need be. While maxConnections are open (0: no limit) the next ones
// wait unaccepted, which keeps clients from taking the descriptors that connections to
// engines need.
func (l *Loop) Listen(addr string, readLimit, maxConnections int, newHandler func(*Conn) Handler) (net.Listener, error) {
	listener, err := l.listenPatiently(addr)
	if err != nil {
		return nil, err
	}
	a := &acceptor{loop: l, listener: listener, readLimit: readLimit, newHandler: newHandler}
	if maxConnections > 0 {
		a.slots = make(chan struct{}, maxConnections)
	}
	go a.run()
	return &drainingListener{Listener: listener, acceptor: a}, nil
}

const (
	// listenRetryTime is how long a listen is tried again that fails on this machine. A front
	// end has 30 s to be ready.
	listenRetryTime = 5 * time.Second
	// listenRetryDelay is the pause between two of these attempts.
	listenRetryDelay = 20 * time.Millisecond
)

// listenPatiently listens, and tries again for a while where that fails for want of something
// on this machine. It blocks meanwhile, as a start may.
func (l *Loop) listenPatiently(addr string) (net.Listener, error) {
	for giveUpAt := time.Now().Add(listenRetryTime); ; time.Sleep(listenRetryDelay) {
		listener, err := l.listen("tcp", addr)
		if err == nil || !IsLocalFailure(err) || errors.Is(err, syscall.EADDRNOTAVAIL) || time.Now().After(giveUpAt) {
			return listener, err
		}
	}
}

func (a *acceptor) run() {
	for {
		a.acquireSlot()
		conn, err := a.listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			a.releaseSlot()
			time.Sleep(acceptRetryDelay)
		default:
			a.handOver(conn)
		}
	}
}

// handOver passes an accepted connection to the loop, or closes it.
func (a *acceptor) handOver(conn net.Conn) {
	s := convertAccepted(conn)
	if s == nil {
		a.releaseSlot()
		return
	}
	a.loop.Post(func() {
		if _, err := a.loop.adopt(s, a.readLimit, a.newHandler, a.releaseSlot); err != nil {
			a.releaseSlot()
		}
	})
}

func (a *acceptor) acquireSlot() {
	if a.slots != nil {
		a.slots <- struct{}{}
	}
}

func (a *acceptor) releaseSlot() {
	if a.slots != nil {
		<-a.slots
	}
}

// convertAccepted makes an accepted connection a socket, for which it takes a second
// descriptor for a moment, and returns nil where it can't. Where the first was the last, it waits
// for another before the next connection is accepted: closing this one would reject a
// client, and accepting more would leave no descriptor for any.
func convertAccepted(conn net.Conn) *socket {
	for range maxConvertAttempts {
		s, err := convert(conn)
		if err == nil {
			return s
		}
		if !IsDescriptorExhausted(err) {
			break
		}
		time.Sleep(acceptRetryDelay)
	}
	_ = conn.Close()
	return nil
}
