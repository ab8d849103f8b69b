package eventloop

import (
	"sync/atomic"
	"time"
)

const (
	// maxFlushTime limits the time from Close until all pending bytes are sent.
	maxFlushTime = 3 * time.Second

	// lingerTime is how long a connection stays open after its write side is shut, or after CloseAfterLinger, so that
	// the peer can close the connection first. A socket that is closed with unread bytes resets the connection, and the
	// peer may then never read the last response.
	lingerTime = 250 * time.Millisecond
)

// connState is the state of a connection's close.
//
//	state     event                           next state  action
//	open      Close                           closing     discard the unread bytes, wait for pending writes
//	open      CloseIfIdle, nothing is unread  closing     as for Close
//	open      CloseAfterLinger                lingering   stop reading, close the socket after lingerTime
//	closing   no write is pending             closing     shut the write side, close the socket after lingerTime
//	closing   maxFlushTime after Close        closing     close the socket
//	any       the peer ends the stream        unchanged   close the socket
//	any       a read or a write fails         unchanged   close the socket with the error
//	any       Abort                           unchanged   close the socket
//	any       a turn after the socket closes  closed      drop the read buffer, call Handler.OnClosed
//
// The handler is notified of the closed socket on a later turn of the loop, so that bytes which were read before are
// delivered first. Close and CloseAfterLinger do nothing unless the connection is open. If a closing or lingering
// connection has neither unread bytes nor pending writes, CloseIfIdle shuts its write side.
type connState int32

const (
	// connOpen: data is handed to the handler, and Write sends.
	connOpen connState = iota
	// connClosing: pending writes are sent, then the write side is shut. What is read meanwhile is discarded, so that
	// no unread bytes reset the connection.
	connClosing
	// connLingering: pending writes are sent. Nothing more is read.
	connLingering
	// connClosed: the connection has ended, and the handler is notified.
	connClosed
)

// atomicConnState holds a connState. Only the loop's goroutine stores it. The poller's goroutine loads it to decide
// what to do with received bytes.
type atomicConnState struct {
	value atomic.Int32
}

func (a *atomicConnState) load() connState { return connState(a.value.Load()) }

func (a *atomicConnState) store(state connState) { a.value.Store(int32(state)) }

// closer runs the state machine of a connection's close; see connState. It decides when the write side is shut and when
// the socket is closed. Its methods must be called on the loop's goroutine.
type closer struct {
	// Set once, by newConn.
	loop   *Loop
	socket *socket
	reader *reader
	writer *writer

	state        atomicConnState
	disconnected atomic.Bool // the socket is closed; set on any goroutine, before the state becomes closed
}

func (c *closer) close() {
	if c.state.load() != connOpen {
		return
	}
	c.state.store(connClosing)
	c.flushAndShutdownWrite()
}

// closeIfIdle closes the connection and returns true, unless bytes of the peer are unread.
func (c *closer) closeIfIdle() bool {
	idle := c.startClosingIfIdle()
	if idle {
		c.flushAndShutdownWrite()
	}
	return idle
}

// startClosingIfIdle reads what the socket holds. If no bytes are unread and the connection is open, it changes the
// state to closing. It holds the reader's mutex meanwhile, so that what the poller reads next is discarded.
func (c *closer) startClosingIfIdle() (idle bool) {
	c.reader.mu.Lock()
	defer c.reader.mu.Unlock()
	isOpen := c.state.load() == connOpen
	if isOpen {
		c.reader.readAndPostLocked(c.loop.scratch, readUntilShort)
	}
	idle = c.reader.in.Len() == 0
	if idle && isOpen {
		c.state.store(connClosing)
	}
	return idle
}

// flushAndShutdownWrite shuts the write side once no write is pending. If that takes longer than maxFlushTime, it
// closes the socket.
func (c *closer) flushAndShutdownWrite() {
	c.reader.redeliver() // discards the unread bytes, and resumes reading if the buffer was full
	if c.writer.pending.Load() == 0 {
		c.shutdownWrite()
		return
	}
	c.writer.notifyWhenFlushed(nil)
	c.abortAfter(maxFlushTime)
}

// writesFlushed is called by the writer once nothing is pending.
func (c *closer) writesFlushed() {
	if c.state.load() == connClosing {
		c.shutdownWrite()
	}
}

// shutdownWrite shuts the write side, and gives the peer lingerTime to close the connection. What the peer sends
// meanwhile is read and discarded.
func (c *closer) shutdownWrite() {
	if err := c.socket.shutdownWrite(); err != nil {
		c.abort()
		return
	}
	c.abortAfter(lingerTime)
}

func (c *closer) closeAfterLinger() {
	if c.state.load() != connOpen {
		return
	}
	c.state.store(connLingering)
	c.socket.setReadInterest(streamEndEvents)
	c.abortAfter(lingerTime)
}

func (c *closer) abortAfter(delay time.Duration) {
	c.loop.Timers.Schedule(c.loop.Now()+delay, c.abort)
}

func (c *closer) abort() { c.socket.close(nil) }

// finish changes the state to closed and drops the unread bytes. It holds the reader's mutex: a read that is in
// progress on the poller's goroutine ends first, and its bytes are dropped too.
func (c *closer) finish() {
	c.reader.mu.Lock()
	defer c.reader.mu.Unlock()
	c.state.store(connClosed)
	c.reader.releaseBufferLocked()
}
