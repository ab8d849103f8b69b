package fake

import (
	"errors"
	"fmt"
	"net"
	"sync"
)

// AnyLoopbackPort is the loopback address with a port that the kernel chooses.
const AnyLoopbackPort = "127.0.0.1:0"

// NotLoopbackError reports an address that is not on the loopback interface.
type NotLoopbackError struct {
	Addr string
}

func (e *NotLoopbackError) Error() string {
	return fmt.Sprintf("fake: %s is not a loopback address", e.Addr)
}

// Listen opens a listener at a loopback address.
func Listen(addr string) (net.Listener, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("fake: %w", err)
	}
	if tcpAddr, ok := listener.Addr().(*net.TCPAddr); !ok || !tcpAddr.IP.IsLoopback() {
		_ = listener.Close()
		return nil, &NotLoopbackError{Addr: listener.Addr().String()}
	}
	return listener, nil
}

// connections are the open connections of a listener. They are safe for concurrent use.
type connections struct {
	mu   sync.Mutex // guards open
	open map[net.Conn]bool
}

// serveConnections serves each connection of a listener on a separate goroutine. After an error of Accept, it
// accepts the next connection. When the listener is closed, serveConnections closes all connections and returns.
func serveConnections(listener net.Listener, serve func(net.Conn)) {
	conns := &connections{open: map[net.Conn]bool{}}
	defer conns.close()
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		conns.add(conn)
		go func() {
			defer conns.remove(conn)
			serve(conn)
		}()
	}
}

func (c *connections) add(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open[conn] = true
}

func (c *connections) remove(conn net.Conn) {
	_ = conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.open, conn)
}

func (c *connections) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.open {
		_ = conn.Close()
	}
}
