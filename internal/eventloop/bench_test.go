package eventloop

import (
	"io"
	"net"
	"testing"

	"flaxrelay/internal/eventloop/eventlooptest"
	"flaxrelay/internal/tcptest"
)

// echo is a handler that sends back what it receives.
type echo struct{}

func (echo) OnData(c *Conn, in *Buffer) {
	c.Write(in.Bytes())
	in.Consume(in.Len())
}

func (echo) OnClosed(*Conn, error) {}

// BenchmarkEcho measures a request of 128 bytes and its response over a loopback connection.
func BenchmarkEcho(b *testing.B) {
	l, err := New()
	if err != nil {
		b.Fatal(err)
	}
	eventlooptest.Run(b, l)
	listener, err := l.Listen(tcptest.AnyLoopbackPort, readSize, 0, func(*Conn) Handler { return echo{} })
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	peer, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = peer.Close() }()
	message := make([]byte, 128)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := peer.Write(message); err != nil {
			b.Fatal(err)
		}
		if _, err := io.ReadFull(peer, message); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkPost measures the time from a post on another goroutine until the posted function has run.
func BenchmarkPost(b *testing.B) {
	l, err := New()
	if err != nil {
		b.Fatal(err)
	}
	eventlooptest.Run(b, l)
	b.ReportAllocs()
	for b.Loop() {
		eventlooptest.Do(l, func() {})
	}
}
