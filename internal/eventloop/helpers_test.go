package eventloop

import (
	"errors"
	"io"
	"net"
	"runtime"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"flaxrelay/internal/eventloop/eventlooptest"
	"flaxrelay/internal/tcptest"
)

const (
	// awaitTimeout limits a wait for something that is expected to happen.
	awaitTimeout = 10 * time.Second

	// readLimit is the read limit of each accepted connection, in bytes.
	readLimit = 64 << 10
)

// recorder is a handler that records the events of a connection.
type recorder struct {
	conn   *Conn
	closed chan error

	// The fields below are used only on the loop's goroutine.
	data        []string
	arrivedAt   []time.Duration // arrival time of the first byte of each element of data
	ignoresData bool            // OnData consumes nothing
}

func (r *recorder) OnData(_ *Conn, in *Buffer) {
	if r.ignoresData {
		return
	}
	if in.Len() > 0 {
		r.arrivedAt = append(r.arrivedAt, in.ArrivedAt(1))
	}
	r.data = append(r.data, string(in.Bytes()))
	in.Consume(in.Len())
}

func (r *recorder) OnClosed(_ *Conn, err error) { r.closed <- err }

// startLoop returns a running loop, and a channel that is closed when Run returns.
func startLoop(t *testing.T) (l *Loop, ended <-chan struct{}) {
	t.Helper()
	l, err := New()
	if err != nil {
		t.Fatal(err)
	}
	return l, eventlooptest.Run(t, l)
}

// listen returns a listener of the loop, and the handlers of the connections that it accepts.
func listen(t *testing.T, l *Loop, maxConnections int) (listener net.Listener, accepted <-chan *recorder) {
	t.Helper()
	recorders := make(chan *recorder, 2)
	listener, err := l.Listen(tcptest.AnyLoopbackPort, readLimit, maxConnections, func(c *Conn) Handler {
		r := &recorder{conn: c, closed: make(chan error, 1)}
		recorders <- r
		return r
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	return listener, recorders
}

// connect returns a connection to the listener. The loop may not have accepted the connection yet.
func connect(t *testing.T, listener net.Listener) *net.TCPConn {
	t.Helper()
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(awaitTimeout)); err != nil {
		t.Fatal(err)
	}
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		t.Fatalf("%T is not a TCP connection", conn)
	}
	return tcp
}

// connectTo returns a connection that the loop has accepted, and its peer.
func connectTo(t *testing.T, l *Loop) (r *recorder, peer *net.TCPConn) {
	t.Helper()
	listener, accepted := listen(t, l, 0)
	peer = connect(t, listener)
	return <-accepted, peer
}

// connectedPair returns a loop with one accepted connection, and its peer.
func connectedPair(t *testing.T) (l *Loop, r *recorder, peer *net.TCPConn) {
	t.Helper()
	l, _ = startLoop(t)
	r, peer = connectTo(t, l)
	return l, r, peer
}

// setSystemCalls replaces the system calls of the connection.
func setSystemCalls(c *Conn, calls systemCalls) {
	c.socket.mu.Lock()
	defer c.socket.mu.Unlock()
	c.socket.system = calls
}

// setWrite replaces the write call of the connection.
func setWrite(c *Conn, write func(descriptor int, p []byte) (int, error)) {
	setSystemCalls(c, systemCalls{read: unix.Read, write: write})
}

// blockWrites makes all writes of the connection fail with EAGAIN until the returned function is called.
func blockWrites(c *Conn) (unblock func()) {
	setWrite(c, func(int, []byte) (int, error) { return -1, unix.EAGAIN })
	return func() { setSystemCalls(c, kernel) }
}

// interestOf returns the events that the poller waits for.
func interestOf(c *Conn) uint32 {
	c.socket.mu.Lock()
	defer c.socket.mu.Unlock()
	return c.socket.interest
}

// awaitOnLoop waits until the condition is true. It calls the condition on the loop's goroutine.
func awaitOnLoop(t *testing.T, l *Loop, event string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(awaitTimeout); ; time.Sleep(time.Millisecond) {
		holds := false
		eventlooptest.Do(l, func() { holds = condition() })
		if holds {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("not within %v: %s", awaitTimeout, event)
		}
	}
}

// awaitPoller waits until the condition is true. It must be called on the loop's goroutine and blocks it, so that only
// the poller can make the condition true.
func awaitPoller(t *testing.T, event string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(awaitTimeout); !condition(); runtime.Gosched() {
		if time.Now().After(deadline) {
			t.Errorf("not within %v: %s", awaitTimeout, event)
			return
		}
	}
}

// await returns the next value of the channel, or the zero value once the channel is closed. It fails the test after
// awaitTimeout.
func await[T any](t *testing.T, c <-chan T, event string) (value T) {
	t.Helper()
	select {
	case value = <-c:
	case <-time.After(awaitTimeout):
		t.Fatalf("not within %v: %s", awaitTimeout, event)
	}
	return value
}

// awaitEnd waits until OnClosed is called.
func awaitEnd(t *testing.T, r *recorder) {
	t.Helper()
	_ = await(t, r.closed, "the end of the connection")
}

// send writes data to a connection of a peer, and fails the test if that fails.
func send[T string | []byte](t *testing.T, peer io.Writer, data T) {
	t.Helper()
	if _, err := peer.Write([]byte(data)); err != nil {
		t.Errorf("the peer's write failed: %v", err)
	}
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

// checkEnd waits until OnClosed is called, and fails the test unless the call has the wanted error.
func checkEnd(t *testing.T, r *recorder, want error) {
	t.Helper()
	if err := await(t, r.closed, "the end of the connection"); !errors.Is(err, want) {
		t.Errorf("closed with %v, want %v", err, want)
	}
}

// checkPeerReads fails the test unless the peer reads this text and then the end of the stream.
func checkPeerReads(t *testing.T, peer io.Reader, want string) {
	t.Helper()
	if got, err := io.ReadAll(peer); string(got) != want || err != nil {
		t.Errorf("the peer read %q, then %v; want %q, then the end of the stream", got, err, want)
	}
}

// checkInterest fails the test unless the poller waits for these events of the connection.
func checkInterest(t *testing.T, c *Conn, want uint32) {
	t.Helper()
	if got := interestOf(c); got != want {
		t.Errorf("the poller waits for events %#x, want %#x", got, want)
	}
}
