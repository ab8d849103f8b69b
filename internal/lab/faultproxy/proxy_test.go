package faultproxy

import (
	"bytes"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"flaxrelay/internal/tcptest"
)

// waitLimit limits the time of each connection.
const waitLimit = 10 * time.Second

// startEchoServer starts a server that sends each byte back and passes the received bytes to a channel.
func startEchoServer(t *testing.T) (addr string, received chan byte) {
	t.Helper()
	listener := tcptest.Listen(t, tcptest.AnyLoopbackPort)
	received = make(chan byte, 100)
	go tcptest.Serve(listener, func(conn net.Conn) { echo(conn, received) })
	return listener.Addr().String(), received
}

func echo(conn net.Conn, received chan<- byte) {
	b := make([]byte, 1)
	for {
		if _, err := conn.Read(b); err != nil {
			return
		}
		received <- b[0]
		if _, err := conn.Write(b); err != nil {
			return
		}
	}
}

// connection is a client's connection through a proxy to an echo server.
type connection struct {
	net.Conn
	proxy    *Proxy
	received chan byte // by the server
}

func openThroughProxy(t *testing.T, opts Options) *connection {
	t.Helper()
	addr, received := startEchoServer(t)
	proxy, err := Listen(addr, opts)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(proxy.Close)
	conn, err := net.Dial("tcp", proxy.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(waitLimit))
	return &connection{conn, proxy, received}
}

// roundTrip sends a byte and reads one.
func (c *connection) roundTrip(b byte) (byte, error) {
	if _, err := c.Write([]byte{b}); err != nil {
		return 0, err
	}
	got := make([]byte, 1)
	_, err := c.Read(got)
	return got[0], err
}

// readError returns the error of a read, or nil if a byte arrives.
func (c *connection) readError() error {
	_, err := c.Read(make([]byte, 1))
	return err
}

// Chunks of both directions are delayed by at least the delay, and the jitter does not change their
// order.
func TestProxy_DelaysBothWaysAndKeepsTheOrder(t *testing.T) {
	const delay = 20 * time.Millisecond
	conn := openThroughProxy(t, Options{Delay: delay, Jitter: delay / 2, Seed: 1})
	start := time.Now()
	if got, err := conn.roundTrip('a'); err != nil || got != 'a' || time.Since(start) < 2*delay {
		t.Errorf("%q, %v after %v", got, err, time.Since(start))
	}
	want := []byte("in this order")
	for _, b := range want {
		if _, err := conn.Write([]byte{b}); err != nil {
			t.Fatal(err)
		}
	}
	got := make([]byte, len(want))
	if _, err := io.ReadFull(conn, got); err != nil || !bytes.Equal(got, want) {
		t.Errorf("%q, %v", got, err)
	}
}

// Each kind of fault takes effect when the fault begins.
func TestProxy_EachFaultHasItsEffect(t *testing.T) {
	const (
		from     = 100 * time.Millisecond
		duration = 200 * time.Millisecond
	)
	for kind, check := range map[Kind]func(*testing.T, *connection){
		DropResponses:    checkDroppedResponses,
		CorruptResponses: checkCorruptResponses,
		Disconnect:       checkDisconnect,
		Reset:            checkReset,
		HalfClose:        checkHalfClose,
		Stall:            checkStall,
	} {
		t.Run(string(kind), func(t *testing.T) {
			conn := openThroughProxy(t, Options{Faults: []Fault{{Kind: kind, From: from, For: duration}}, Seed: 1})
			if got, err := conn.roundTrip('a'); err != nil || got != 'a' {
				t.Fatalf("before the fault: %q, %v", got, err)
			}
			<-conn.received
			if change := conn.proxy.nextChange(); !conn.proxy.active(kind) {
				<-change // the fault begins
			}
			check(t, conn)
		})
	}
}

func checkDroppedResponses(t *testing.T, conn *connection) {
	t.Helper()
	_, _ = conn.Write([]byte{'b'})
	if got := <-conn.received; got != 'b' {
		t.Errorf("the server received %q", got)
	}
	for {
		change := conn.proxy.nextChange() // before the check, so that no change after the check is missed
		if !conn.proxy.active(DropResponses) {
			break
		}
		<-change
	}
	if got, err := conn.roundTrip('c'); err != nil || got != 'c' {
		t.Errorf("after the fault: %q, %v", got, err)
	}
}

func checkCorruptResponses(t *testing.T, conn *connection) {
	t.Helper()
	if got, err := conn.roundTrip('b'); err != nil || got == 'b' {
		t.Errorf("%q, %v: the response arrived unchanged", got, err)
	}
}

func checkStall(t *testing.T, conn *connection) {
	t.Helper()
	const minStall = 20 * time.Millisecond // time that remains of the fault if the byte is sent late
	start := time.Now()
	if got, err := conn.roundTrip('b'); err != nil || got != 'b' || time.Since(start) < minStall {
		t.Errorf("%q, %v after %v: the byte was not delayed", got, err, time.Since(start))
	}
}

func checkReset(t *testing.T, conn *connection) {
	t.Helper()
	if err := conn.readError(); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("read: %v, want a reset", err)
	}
}

func checkDisconnect(t *testing.T, conn *connection) {
	t.Helper()
	if conn.readError() == nil {
		t.Error("the connection stays open")
	}
	another, err := net.Dial("tcp", conn.proxy.Addr())
	if err == nil {
		defer func() { _ = another.Close() }()
		_, err = another.Read(make([]byte, 1))
	}
	if err == nil {
		t.Error("a new connection is accepted")
	}
}

func checkHalfClose(t *testing.T, conn *connection) {
	t.Helper()
	if err := conn.readError(); !errors.Is(err, io.EOF) {
		t.Errorf("read: %v, want the end of the responses", err)
	}
}

// Listen rejects a schedule with an unknown kind of fault, and an address that is not on loopback.
func TestListen_RejectsUnknownFaultsAndOtherHosts(t *testing.T) {
	var unknown *UnknownKindError
	if _, err := Listen("127.0.0.1:1", Options{Faults: []Fault{{Kind: "unknown"}}}); !errors.As(err, &unknown) {
		t.Errorf("unknown kind: %v", err)
	}
	var notLoopback *NotLoopbackError
	if _, err := Listen("10.0.0.1:1", Options{}); !errors.As(err, &notLoopback) {
		t.Errorf("other host: %v", err)
	}
}
