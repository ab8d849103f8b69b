package eventloop

import (
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"flaxrelay/internal/eventloop/eventlooptest"
	"flaxrelay/internal/tcptest"
)

// A connection that the kernel has established before the listener is closed is served, even if it had to wait for
// another connection to end: its client may have sent a request by then.
func TestListenerClose_ServesTheBacklog(t *testing.T) {
	l, _ := startLoop(t)
	listener, accepted := listen(t, l, 1)
	connect(t, listener)
	<-accepted
	waiting := connect(t, listener)
	send(t, waiting, "a request")
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	select {
	case r := <-accepted:
		awaitOnLoop(t, l, "its bytes are delivered", func() bool { return len(r.data) > 0 })
	case <-time.After(time.Second):
		t.Fatal("the waiting connection was dropped")
	}
	if conn, err := net.Dial("tcp", listener.Addr().String()); err == nil {
		_ = conn.Close()
		t.Error("the closed listener still accepts connections")
	}
}

// A connection beyond the limit is accepted once another connection has ended.
func TestListen_LimitsOpenConnections(t *testing.T) {
	l, _ := startLoop(t)
	listener, accepted := listen(t, l, 1)
	connect(t, listener)
	connect(t, listener)
	first := <-accepted
	select {
	case <-accepted:
		t.Error("a connection beyond the limit was accepted")
	case <-time.After(50 * time.Millisecond):
	}
	eventlooptest.Do(l, first.conn.Abort)
	await(t, accepted, "the second connection")
}

// A listen is retried after transient local failures. Otherwise the program would have to be restarted after them.
func TestListen_RetriesLocalFailures(t *testing.T) {
	for _, failure := range []error{unix.ENOBUFS, unix.ENFILE, unix.EMFILE} {
		l, _ := startLoop(t)
		calls := 0
		l.listen = func(network, addr string) (net.Listener, error) {
			if calls++; calls <= 3 {
				return nil, &net.OpError{Op: "listen", Err: failure}
			}
			return net.Listen(network, addr)
		}
		listener, err := l.Listen(tcptest.AnyLoopbackPort, readSize, 0, func(*Conn) Handler { return nil })
		if err != nil {
			t.Errorf("%v: got %v after %d calls", failure, err, calls)
			continue
		}
		_ = listener.Close()
	}
}
