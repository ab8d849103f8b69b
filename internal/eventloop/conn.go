package eventloop

import (
	"fmt"
	"sync"
	"sync/atomic"
)

// Handler takes the events of one connection, on the loop's goroutine.
type Handler interface {
	// OnData is called when the buffer has grown. What it doesn't consume stays there.
	OnData(c *Conn, in *Buffer)
	// OnClosed is called once, when the connection has ended; err is nil where the peer
	// or Close ended it in the usual way.
	OnClosed(c *Conn, err error)
}

// connState is the state of a connection between open and closed. The loop's goroutine alone
// changes it; the poller's reads it to know what to do with received bytes.
type connState int32

const (
	// connOpen: data is handed to the handler, and Write sends.
	connOpen connState = iota
	// connDraining: Close was called. Pending writes are sent, then the write side is
	// shut; what is read meanwhile is discarded.
	connDraining
	// connLingering: CloseAfterLinger was called. Pending writes are sent; nothing more
	// is read.
	connLingering
	// connClosed: the connection has ended, and the handler has been notified.
	connClosed
)

// Conn is one connection. Its methods are for the loop's goroutine.
//
// Two goroutines use its fields. The poller's goroutine reads the socket when it becomes
// readable, and sends queued writes when it becomes writable; the loop's goroutine does
// everything else, and also reads, once there is room in a buffer that was full.
type Conn struct {
	// Set once, by adopt.
	loop      *Loop
	socket    *socket
	handler   Handler
	readLimit int    // the largest size of the read buffer, in bytes
	onEnded   func() // called once the connection has ended

	// Written by the loop's goroutine alone; the poller's reads them.
	state            atomic.Int32 // a connState
	readAheadLimited atomic.Bool
	flushAwaited     atomic.Bool // the loop's goroutine is to be notified when nothing is pending

	// The loop's goroutine alone.
	onFlushed func() // called once nothing is pending; may be nil

	pendingWrite atomic.Int64 // bytes not yet sent: added by the loop, subtracted as they are sent
	disconnected atomic.Bool  // the socket is closed; finish follows

	mu              sync.Mutex
	in              Buffer // guarded by mu, as are those below
	deliveryPosted  bool   // a call of deliver is in the loop's queue
	readPaused      bool   // there may be more to read, and the buffer is full
	readLate        bool   // the next bytes may have waited in the kernel for long
	discardedOnRead int    // bytes received after Close
}

// adopt hands a connected socket to the poller. The function onEnded is called once the
// connection has ended. After an error the socket is closed, and neither newHandler nor
// onEnded is called.
func (l *Loop) adopt(s *socket, readLimit int, newHandler func(*Conn) Handler, onEnded func()) (*Conn, error) {
	c := &Conn{loop: l, socket: s, readLimit: readLimit, onEnded: onEnded, readLate: true}
	s.owner, s.poller = c, l.poller
	if err := l.poller.add(s); err != nil {
		s.owner = nil
		s.close(err)
		return nil, fmt.Errorf("poll the connection: %w", err)
	}
	l.connections[c] = struct{}{}
	// The poller may have read already; what it posts runs after this.
	c.handler = newHandler(c)
	return c, nil
}

func (c *Conn) loadState() connState { return connState(c.state.Load()) }

func (c *Conn) setState(s connState) { c.state.Store(int32(s)) }

// writeFailed reads what the peer has sent, and then ends the connection with the error. It
// may be called from any goroutine, and while mu is held.
func (c *Conn) writeFailed(err error) {
	c.loop.Post(func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.readAndPost(c.loop.readBuffer, true)
		c.socket.close(err)
	})
}

// ended notes that the socket is closed. It may be called from any goroutine.
func (c *Conn) ended(err error) {
	c.disconnected.Store(true)
	c.loop.Post(func() { c.finish(err) })
}

// finish ends the connection for the loop and the handler, once.
func (c *Conn) finish(err error) {
	if c.loadState() == connClosed {
		return
	}
	delete(c.loop.connections, c)
	c.mu.Lock()
	c.setState(connClosed)
	c.releaseBuffer()
	c.mu.Unlock()
	c.onEnded()
	c.handler.OnClosed(c, err)
}

// releaseBuffer drops what was read and not consumed. The caller holds mu.
func (c *Conn) releaseBuffer() {
	c.loop.bufferedBytes.Add(-int64(c.in.Len()))
	c.in = Buffer{}
}

// UnreadBytes returns the number of received bytes that the handler has not consumed.
func (c *Conn) UnreadBytes() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.in.Len()
}

// Disconnected reports whether the connection has ended, which it does before OnClosed
// is called. What was read until then is still handed to OnData.
func (c *Conn) Disconnected() bool { return c.disconnected.Load() }
