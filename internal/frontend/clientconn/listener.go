package clientconn

import (
	"net"

	"flaxrelay/internal/eventloop"
)

// Listener accepts client connections.
type Listener struct {
	listener net.Listener
}

// Listen accepts connections at the address. At most maxConnections connections are open at once (0: no limit);
// readLimit limits the unread bytes of each. The function accept is called on the goroutine of the event loop.
func Listen(
	loop *eventloop.Loop, address string, readLimit, maxConnections int, accept func(*eventloop.Conn) eventloop.Handler,
) (Listener, error) {
	listener, err := loop.Listen(address, readLimit, maxConnections, accept)
	return Listener{listener: listener}, err
}

// Addr returns the address that clients connect to.
func (l *Listener) Addr() string { return l.listener.Addr().String() }

// CloseListener stops accepting connections. Open connections stay open. An error is ignored: the listener is not used
// again in either case.
func (l *Listener) CloseListener() { _ = l.listener.Close() }
