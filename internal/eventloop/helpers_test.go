package eventloop

import (
	"net"
	"testing"
	"time"

	"flaxrelay/internal/eventloop/eventlooptest"
)

// patience bounds a wait for something that is expected to happen.
const patience = 10 * time.Second

// recorder is a handler that keeps what it is notified of.
type recorder struct {
	conn   *Conn
	data   []string // of the loop's goroutine
	idle   bool     // of the loop's goroutine: nothing is consumed
	closed chan error
}

func (r *recorder) OnData(_ *Conn, in *Buffer) {
	if r.idle {
		return
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
	listener, err := l.Listen("127.0.0.1:0", 64<<10, 0, func(c *Conn) Handler {
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

// awaitEnd fails the test where the channel brings nothing.
func awaitEnd[T any](t *testing.T, c <-chan T, what string) {
	t.Helper()
	select {
	case <-c:
	case <-time.After(patience):
		t.Fatalf("%s did not end", what)
	}
}
