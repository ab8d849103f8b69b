package eventloop

import (
	"errors"
	"net"
	"syscall"
	"time"
)

const (
	// listenRetryTime is how long a listen that fails locally is retried. It is short compared with the 30 s within
	// which a front end must be ready.
	listenRetryTime = 5 * time.Second
	// listenRetryDelay is the pause between two attempts to listen.
	listenRetryDelay = 20 * time.Millisecond

	// acceptRetryDelay is the pause after a failed accept. While the descriptor table is full, the listener stays
	// readable; without the pause, accepting would be a busy loop.
	acceptRetryDelay = 20 * time.Millisecond

	// maxConvertAttempts limits the attempts to convert an accepted connection to a socket. The pause between two
	// attempts is acceptRetryDelay.
	maxConvertAttempts = 250
)

// acceptor is the listener that Loop.Listen returns. It accepts the connections on a separate goroutine, and hands
// them to the loop.
type acceptor struct {
	net.Listener
	loop       *Loop
	readLimit  int
	newHandler func(*Conn) Handler
	slots      connectionSlots
}

// Listen accepts connections at the address until the returned listener is closed. The function newHandler is called on
// the loop's goroutine and returns the handler of each connection. Reading a connection pauses while readLimit or more
// of its bytes are unread; readLimit must be at least the size of the largest message.
//
// At most maxConnections accepted connections are open at a time (0: no limit). Further connections wait to be
// accepted, so that clients cannot use up the descriptors that connections to engines need. Closing the listener
// accepts the connections that wait, beyond maxConnections if necessary.
//
// Listen may be called from any goroutine. It blocks while it retries a listen that fails locally.
func (l *Loop) Listen(
	addr string, readLimit, maxConnections int, newHandler func(*Conn) Handler,
) (net.Listener, error) {
	listener, err := l.listenWithRetries(addr)
	if err != nil {
		return nil, err
	}
	a := &acceptor{
		Listener:   listener,
		loop:       l,
		readLimit:  readLimit,
		newHandler: newHandler,
		slots:      newConnectionSlots(maxConnections),
	}
	go a.run()
	return a, nil
}

// listenWithRetries listens. If this machine lacks a resource that may be available later, it retries for
// listenRetryTime. An address that this machine does not have is reported at once.
func (l *Loop) listenWithRetries(addr string) (net.Listener, error) {
	for giveUpAt := time.Now().Add(listenRetryTime); ; time.Sleep(listenRetryDelay) {
		listener, err := l.listen("tcp", addr)
		isTransient := IsLocalFailure(err) && !errors.Is(err, syscall.EADDRNOTAVAIL)
		if !isTransient || time.Now().After(giveUpAt) {
			return listener, err
		}
	}
}

// run accepts connections until the listener is closed.
func (a *acceptor) run() {
	for {
		a.slots.acquire()
		conn, err := a.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			a.slots.release()
			time.Sleep(acceptRetryDelay)
		default:
			a.adoptConn(conn)
		}
	}
}

// adoptConn hands an accepted connection to the loop, or closes it. Its slot is released when it ends.
func (a *acceptor) adoptConn(conn net.Conn) {
	s := convertAccepted(conn)
	if s == nil {
		a.slots.release()
		return
	}
	a.adopt(s, a.slots.release)
}

// adopt hands the socket of an accepted connection to the loop. The function onEnded is called once the connection has
// ended. A connection that cannot be polled ends at once, since nothing could be sent to its client.
func (a *acceptor) adopt(s *socket, onEnded func()) {
	a.loop.Post(func() {
		if _, err := a.loop.adopt(s, a.loop.acceptedBudget, a.readLimit, a.newHandler, onEnded); err != nil {
			onEnded()
		}
	})
}

// convertAccepted converts an accepted connection to a socket, or closes it and returns nil. The conversion needs a
// second descriptor. If no descriptor is left, convertAccepted waits for one and meanwhile no further connection is
// accepted: closing this connection would reject a client, and accepting more would leave no descriptor for any of
// them.
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

// connectionSlots limits the open connections of a listener. The channel holds a value for each of them; nil means no
// limit. Its methods may be called from any goroutine.
type connectionSlots chan struct{}

func newConnectionSlots(limit int) connectionSlots {
	if limit <= 0 {
		return nil
	}
	return make(connectionSlots, limit)
}

// acquire blocks while the limit is reached.
func (s connectionSlots) acquire() {
	if s != nil {
		s <- struct{}{}
	}
}

// release frees an acquired slot.
func (s connectionSlots) release() {
	if s != nil {
		<-s
	}
}
