package clientconn

import (
	"net"

	"flaxrelay/internal/eventloop"
)

// Listener accepts the connections of clients. Its methods are for the goroutine of the
// event loop.
type Listener struct {
	listener net.Listener
}

// Open accepts connections at the address. At most maxConnections are open at once
// (0: no limit); readLimit bounds the unread bytes of each.
func (l *Listener) Open(loop *eventloop.Loop, address string, readLimit, maxConnections int, accept func(*eventloop.Conn) eventloop.Handler) error {
	listener, err := loop.Listen(address, readLimit, maxConnections, accept)
	if err != nil {
		return err
	}
	l.listener = listener
	return nil
}

// Addr returns the address that clients connect to.
func (l *Listener) Addr() string { return l.listener.Addr().String() }

// CloseListener stops accepting connections. Those that are open stay.
func (l *Listener) CloseListener() { _ = l.listener.Close() }
