package eventloop

import (
	"io"
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"flaxrelay/internal/eventloop/eventlooptest"
)

// A connection that the machine has accepted before the listener is closed is served, even if
// it had to wait for another to end: its client may have sent a request by then.
func TestListenerCloseKeepsWhatTheMachineHasAccepted(t *testing.T) {
	l, _ := startLoop(t)
	accepted := make(chan *recorder, 2)
	listener, err := l.Listen("127.0.0.1:0", readSize, 1, func(c *Conn) Handler {
		r := &recorder{conn: c, closed: make(chan error, 1)}
		accepted <- r
		return r
	})
	if err != nil {
		t.Fatal(err)
	}
	connect := func() net.Conn {
		conn, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		return conn
	}
	connect()
	<-accepted
	waiting := connect()
	if _, err := io.WriteString(waiting, "a call"); err != nil {
		t.Fatal(err)
	}
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	select {
	case r := <-accepted:
		for deadline := time.Now().Add(patience); ; {
			received := 0
			eventlooptest.Do(l, func() { received = len(r.data) })
			if received > 0 {
				break
			}
			if time.Now().After(deadline) {
				t.Fatal("its bytes were not handed on")
			}
		}
	case <-time.After(time.Second):
		t.Fatal("the waiting connection was dropped")
	}
	if conn, err := net.Dial("tcp", listener.Addr().String()); err == nil {
		_ = conn.Close()
		t.Error("still listening")
	}
}

// Listening outlasts failures of this machine that pass: the program would have to be started
// again for them.
func TestListenOutlastsPassingFailuresOfThisMachine(t *testing.T) {
	for _, failure := range []error{unix.ENOBUFS, unix.ENFILE, unix.EMFILE} {
		l, _ := startLoop(t)
		calls := 0
		l.listen = func(network, addr string) (net.Listener, error) {
			if calls++; calls <= 3 {
				return nil, &net.OpError{Op: "listen", Err: failure}
			}
			return net.Listen(network, addr)
		}
		listener, err := l.Listen("127.0.0.1:0", readSize, 0, func(*Conn) Handler { return nil })
		if err != nil {
			t.Errorf("%v: got %v after %d calls", failure, err, calls)
			continue
		}
		_ = listener.Close()
	}
}

// A connection beyond the limit is accepted once another has ended.
func TestListen_LimitsOpenConnections(t *testing.T) {
	l, _ := startLoop(t)
	accepted := make(chan *recorder, 2)
	listener, err := l.Listen("127.0.0.1:0", readSize, 1, func(c *Conn) Handler {
		r := &recorder{conn: c, closed: make(chan error, 1)}
		accepted <- r
		return r
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	for range 2 {
		conn, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
	}
	first := <-accepted
	select {
	case <-accepted:
		t.Error("a connection beyond the limit was accepted")
	case <-time.After(50 * time.Millisecond):
	}
	eventlooptest.Do(l, first.conn.Abort)
	awaitEnd(t, accepted, "the wait of the second connection")
}
