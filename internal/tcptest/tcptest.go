// Package tcptest lets tests listen on a TCP address and serve the connections to it. Only tests and their helper
// packages import it.
package tcptest

import (
	"net"
	"testing"
)

// AnyLoopbackPort is the loopback address with a port that the system chooses.
const AnyLoopbackPort = "127.0.0.1:0"

// Listen returns a listener that is closed at the end of the test.
func Listen(tb testing.TB, address string) *net.TCPListener {
	tb.Helper()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _ = listener.Close() })
	tcpListener, ok := listener.(*net.TCPListener)
	if !ok {
		tb.Fatalf("%T is not a TCP listener", listener)
	}
	return tcpListener
}

// Serve accepts connections until the listener is closed. It calls serve for each connection on a new goroutine, and
// closes the connection when serve returns.
func Serve(listener net.Listener, serve func(net.Conn)) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = conn.Close() }()
			serve(conn)
		}()
	}
}
