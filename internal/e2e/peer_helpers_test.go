package e2e

import (
	"net"
	"os"
	"runtime"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"flaxrelay/internal/tcptest"

	"github.com/google/go-cmp/cmp"
)

// waitLimit bounds every wait, so that a test fails instead of hanging.
const waitLimit = 10 * time.Second

// assertEqual fails the test if two texts differ. The failure message begins with the description.
func assertEqual(t *testing.T, description, got, want string) {
	t.Helper()
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("%s (-want +got):\n%s", description, diff)
	}
}

// poll waits until a condition holds, and returns false if waitLimit passes first.
func poll(condition func() bool) bool {
	for deadline := time.Now().Add(waitLimit); !condition(); runtime.Gosched() {
		if time.Now().After(deadline) {
			return false
		}
	}
	return true
}

// await receives a value within waitLimit.
func await[T any](t *testing.T, values <-chan T) (value T) {
	t.Helper()
	select {
	case value = <-values:
	case <-time.After(waitLimit):
		t.Fatalf("received nothing within %v", waitLimit)
	}
	return value
}

// discardAll receives the values that are buffered in the channel, and returns how many there were.
func discardAll[T any](values <-chan T) (discarded int) {
	for len(values) > 0 {
		<-values
		discarded++
	}
	return discarded
}

// firstCall returns a function that returns true only on its first call. Scripts of several connections and engines may
// share it.
func firstCall() func() bool {
	var called atomic.Bool
	return func() bool { return called.CompareAndSwap(false, true) }
}

// listen accepts connections for a scripted peer until the test ends.
func listen(tb testing.TB, serve func(net.Conn)) (addr string) {
	tb.Helper()
	listener := tcptest.Listen(tb, tcptest.AnyLoopbackPort)
	go acceptAll(listener, serve)
	return listener.Addr().String()
}

// acceptAll serves every connection of a listener for waitLimit at most.
func acceptAll(listener net.Listener, serve func(net.Conn)) {
	tcptest.Serve(listener, func(conn net.Conn) {
		_ = conn.SetDeadline(time.Now().Add(waitLimit))
		serve(conn)
	})
}

// bindLoopback returns a TCP socket that is bound to a port of the loopback interface and does not listen.
func bindLoopback(t *testing.T) (fd int) {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	return fd
}

// listenWithFullBacklog starts a peer whose accept queue is full: connections to it are not established before accept
// is called.
func listenWithFullBacklog(t *testing.T, serve func(net.Conn)) (addr string, accept func()) {
	t.Helper()
	fd := bindLoopback(t)
	const backlog = 0 // the kernel still queues one connection
	if err := syscall.Listen(fd, backlog); err != nil {
		t.Fatal(err)
	}
	file := os.NewFile(uintptr(fd), "full backlog")
	listener, err := net.FileListener(file)
	if err != nil {
		t.Fatal(err)
	}
	_ = file.Close() // the listener has a duplicate of its descriptor
	t.Cleanup(func() { _ = listener.Close() })
	filler := dial(t, listener.Addr().String()).LocalAddr().String() // fills the queue
	return listener.Addr().String(), func() {
		go acceptAll(listener, func(conn net.Conn) {
			if conn.RemoteAddr().String() != filler {
				serve(conn)
			}
		})
	}
}

// dial connects to an address. The connection has a deadline of waitLimit and is closed at the end of the test.
func dial(tb testing.TB, addr string) net.Conn {
	tb.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		tb.Fatal(err)
	}
	_ = conn.SetDeadline(time.Now().Add(waitLimit))
	tb.Cleanup(func() { _ = conn.Close() })
	return conn
}

// tcpConn returns a connection as a TCP connection. Any other type of connection fails the test.
func tcpConn(t *testing.T, conn net.Conn) *net.TCPConn {
	t.Helper()
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		t.Fatalf("%T is not a TCP connection", conn)
	}
	return tcp
}

// closeWrite half-closes a connection, so that its peer closes it too.
func closeWrite(t *testing.T, conn net.Conn) {
	t.Helper()
	if err := tcpConn(t, conn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
}

// closeConnection is a response on which a scripted engine closes the connection instead of sending the text.
const closeConnection = "close the connection"
