package e2e

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	"flaxrelay/internal/tcptest"

	"github.com/google/go-cmp/cmp"
)

// waitLimit bounds every wait, so that a scenario that goes wrong fails and ends.
const waitLimit = 10 * time.Second

// assertEqual compares texts, and names what they are in its report.
func assertEqual(t *testing.T, what, got, want string) {
	t.Helper()
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("%s (-want +got):\n%s", what, diff)
	}
}

// poll waits until a condition holds; it is false where waitLimit passes first.
func poll(condition func() bool) bool {
	for deadline := time.Now().Add(waitLimit); !condition(); runtime.Gosched() {
		if time.Now().After(deadline) {
			return false
		}
	}
	return true
}

// await receives a value.
func await[T any](t *testing.T, values <-chan T) (value T) {
	t.Helper()
	select {
	case value = <-values:
	case <-time.After(waitLimit):
		t.Fatalf("nothing came within %v", waitLimit)
	}
	return value
}

// listen accepts connections for a scripted peer until the test ends.
func listen(t testing.TB, serve func(net.Conn)) (addr string) {
	t.Helper()
	listener := tcptest.Listen(t, tcptest.AnyLoopbackPort)
	go acceptAll(listener, serve)
	return listener.Addr().String()
}

// acceptAll serves every connection of a listener, which lasts waitLimit at most.
func acceptAll(listener net.Listener, serve func(net.Conn)) {
	tcptest.Serve(listener, func(conn net.Conn) {
		_ = conn.SetDeadline(time.Now().Add(waitLimit))
		serve(conn)
	})
}

// listenWithFullBacklog is a peer whose connections don't come up before accept is called: its
// accept queue is full.
func listenWithFullBacklog(t *testing.T, serve func(net.Conn)) (addr string, accept func()) {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	const backlog = 0 // the kernel lets one connection wait even so
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
	filler := dial(t, listener.Addr().String()).LocalAddr().String()
	return listener.Addr().String(), func() {
		go acceptAll(listener, func(conn net.Conn) {
			if conn.RemoteAddr().String() != filler {
				serve(conn)
			}
		})
	}
}

func dial(t testing.TB, addr string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	_ = conn.SetDeadline(time.Now().Add(waitLimit))
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// closeWrite half-closes a connection, so that its peer ends it too.
func closeWrite(t *testing.T, conn net.Conn) {
	t.Helper()
	if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
}

// closeConnection as the answer of a scripted engine has it close the connection instead.
const closeConnection = "close the connection"

// doneReply answers a request line of the line protocol with one page.
func doneReply(line, page string) string {
	const fields = "batches=1,cpu=12.5,used=3,gauges=util:0.5;queue:0;x1:0;x0:0"
	return fmt.Sprintf("%s DONE %s %d\r\n%s\r\n", strings.Fields(line)[1], fields, len(page), page)
}

// readRequestIDs calls handle with the id of each request that arrives on a connection of the
// line protocol, until the connection ends or handle asks to stop.
func readRequestIDs(conn net.Conn, handle func(id string) (goOn bool)) {
	for in := bufio.NewReader(conn); ; {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		if words := strings.Fields(line); len(words) == 4 && words[0] == "want" && !handle(words[1]) {
			return
		}
	}
}
