package fake

import (
	"fmt"
	"net"
	"sync"
)

// NotLoopbackError reports an address that is not on the loopback interface.
type NotLoopbackError struct {
	Addr string
}

// Error implements error.
func (e *NotLoopbackError) Error() string {
	return fmt.Sprintf("emulator: %s is no loopback address", e.Addr)
}

// Listen opens a listener at a loopback address.
func Listen(addr string) (net.Listener, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("emulator: %w", err)
	}
	if tcpAddr, ok := listener.Addr().(*net.TCPAddr); !ok || !tcpAddr.IP.IsLoopback() {
		_ = listener.Close()
		return nil, &NotLoopbackError{Addr: listener.Addr().String()}
	}
	return listener, nil
}

// connections are the open connections of a listener.
type connections struct {
	mu   sync.Mutex
	open map[net.Conn]bool
}

// serveConnections serves every connection of a listener in a goroutine of its own, and closes
// them with it.
func serveConnections(listener net.Listener, serve func(net.Conn)) {
	all := &connections{open: map[net.Conn]bool{}}
	defer all.close()
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		all.add(conn)
		go func() {
			defer all.remove(conn)
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
