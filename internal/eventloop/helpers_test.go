package eventloop

import (
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"flaxrelay/internal/eventloop/eventlooptest"
)

// patience bounds a wait for something that is expected to happen.
const patience = 10 * time.Second

// readLimit is the size of the read buffer of each connection that connectTo returns.
const readLimit = 64 << 10

// recorder is a handler that keeps what it is notified of.
type recorder struct {
	conn   *Conn
	closed chan error

	// Of the loop's goroutine.
	data      []string
	arrivedAt []time.Duration // of the first byte of each of data
	idle      bool            // nothing is consumed
}

func (r *recorder) OnData(_ *Conn, in *Buffer) {
	if r.idle {
		return
	}
	if in.Len() > 0 {
		r.arrivedAt = append(r.arrivedAt, in.ArrivedAt(1))
	}
	r.data = append(r.data, string(in.Bytes()))
	in.Consume(in.Len())
}

func (r *recorder) OnClosed(_ *Conn, err error) { r.closed <- err }

// startLoop returns a loop that runs, and a channel that is closed when Run returns.
func startLoop(t *testing.T) (l *Loop, ended <-chan struct{}) {
	t.Helper()
	l, err := New()
	if err != nil {
		t.Fatal(err)
	}
	return l, eventlooptest.Run(t, l)
}

// connectedPair returns a loop with one accepted connection, and its peer.
func connectedPair(t *testing.T) (l *Loop, r *recorder, peer *net.TCPConn) {
	t.Helper()
	l, _ = startLoop(t)
	r, peer = connectTo(t, l)
	return l, r, peer
}

// connectTo returns a connection that the loop has accepted, and its peer.
func connectTo(t *testing.T, l *Loop) (r *recorder, peer *net.TCPConn) {
	t.Helper()
	accepted := make(chan *recorder, 1)
	listener, err := l.Listen("127.0.0.1:0", readLimit, 0, func(c *Conn) Handler {
		r := &recorder{conn: c, closed: make(chan error, 1)}
		accepted <- r
		return r
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(patience)); err != nil {
		t.Fatal(err)
	}
	return <-accepted, conn.(*net.TCPConn)
}

// awaitOnLoop waits until the condition holds, which is called on the loop's goroutine.
func awaitOnLoop(t *testing.T, l *Loop, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(patience); ; time.Sleep(time.Millisecond) {
		holds := false
		eventlooptest.Do(l, func() { holds = condition() })
		if holds {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("not within %v: %s", patience, what)
		}
	}
}

// awaitEnd fails the test where the channel brings nothing.
func awaitEnd[T any](t *testing.T, c <-chan T, what string) {
	t.Helper()
	select {
	case <-c:
	case <-time.After(patience):
		t.Fatalf("%s did not end", what)
	}
}

// interestOf returns the events that the poller waits for.
func interestOf(c *Conn) uint32 {
	c.socket.mu.Lock()
	defer c.socket.mu.Unlock()
	return c.socket.interest
}

// setWrite has the connection write by another function than the kernel's.
func setWrite(c *Conn, write func(descriptor int, p []byte) (int, error)) {
	setSystem(c, systemCalls{read: unix.Read, write: write})
}

// checkData fails the test unless OnData was called once, with these bytes.
func checkData(t *testing.T, l *Loop, r *recorder, want string) {
	t.Helper()
	eventlooptest.Do(l, func() {
		if len(r.data) != 1 || r.data[0] != want {
			t.Errorf("OnData got %q, want %q", r.data, want)
		}
	})
}
