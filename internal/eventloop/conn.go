package eventloop

import "fmt"

// Handler is called with the events of one connection, on the loop's goroutine.
type Handler interface {
	// OnData is called after the buffer has grown, and after Conn.Redeliver. Bytes that it does not consume stay in the
	// buffer. It must not call Conn.UnreadBytes, Conn.ReadNow or Conn.CloseIfIdle.
	OnData(c *Conn, in *Buffer)
	// OnClosed is called once, after the connection has ended, unless the loop has stopped by then. The error is nil
	// if the peer ended the stream, or if the connection was closed from this side.
	OnClosed(c *Conn, err error)
}

// Conn is one connection. It composes a reader, a writer and a closer over one socket; the package comment states the
// goroutines and the lock rules. Its exported methods must be called on the loop's goroutine.
type Conn struct {
	// Set once, by adopt.
	loop    *Loop
	socket  *socket
	handler Handler
	onEnded func() // called once the connection has ended

	reader reader
	writer writer
	closer closer
}

// adopt hands a connected socket to the poller. The function onEnded is called once the connection has ended. If adopt
// fails, it closes the socket and calls neither newHandler nor onEnded. It must be called on the loop's goroutine.
func (l *Loop) adopt(
	s *socket, budget *readBudget, readLimit int, newHandler func(*Conn) Handler, onEnded func(),
) (*Conn, error) {
	c := newConn(l, s, budget, readLimit)
	c.onEnded = onEnded
	s.owner = c
	s.poller = l.poller
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

// newConn returns the connection of a socket, without its handler.
func newConn(l *Loop, s *socket, budget *readBudget, readLimit int) *Conn {
	c := &Conn{loop: l, socket: s}
	state := &c.closer.state
	c.reader = reader{loop: l, socket: s, state: state, budget: budget, limit: readLimit}
	c.reader.onData = func(in *Buffer) { c.handler.OnData(c, in) }
	c.reader.bytesMayHaveWaited = true // while the connection waited to be accepted
	c.writer = writer{loop: l, socket: s, state: state, notifyCloser: c.closer.writesFlushed}
	c.closer.loop = l
	c.closer.socket = s
	c.closer.reader = &c.reader
	c.closer.writer = &c.writer
	return c
}

// Write sends data, or queues what the socket does not accept at once. It returns false if the connection is closing or
// has ended, or if this write fails. In these cases data is not sent completely, and OnClosed reports the reason.
func (c *Conn) Write(data []byte) bool { return c.writer.write(data) }

// PendingWrite returns the number of bytes that wait to be sent.
func (c *Conn) PendingWrite() int { return int(c.writer.pending.Load()) }

// OnFlushed schedules f to run on a later turn, once no bytes wait to be sent. It replaces the function of an earlier
// call that has not run yet. Close and CloseIfIdle drop the function if bytes wait to be sent.
func (c *Conn) OnFlushed(f func()) { c.writer.notifyWhenFlushed(f) }

// LimitReadAhead makes reading pause once readSize bytes are unread, instead of at the connection's read limit. Servers
// limit the read-ahead while a client's request is in flight.
func (c *Conn) LimitReadAhead() { c.reader.aheadLimited.Store(true) }

// LiftReadAheadLimit ends the effect of LimitReadAhead. Reading that has paused resumes only at the end of a call of
// OnData. A caller outside OnData must therefore also call Redeliver.
func (c *Conn) LiftReadAheadLimit() { c.reader.aheadLimited.Store(false) }

// Redeliver schedules another call of OnData, on a later turn, for the bytes that an earlier call left in the buffer.
func (c *Conn) Redeliver() { c.reader.redeliver() }

// AwaitsReadBudget reports whether reading has paused because the read budget is used up. The socket may hold the rest
// of an incomplete message.
func (c *Conn) AwaitsReadBudget() bool { return c.reader.awaitsBudget() }

// ReadNow reads what the socket holds, and reports whether bytes wait to be handed to OnData. A timeout that would end
// the connection calls it first: the bytes may have arrived in time. It must not be called from OnData.
func (c *Conn) ReadNow() (undelivered bool) { return c.reader.readNow() }

// UnreadBytes returns the number of received bytes that the handler has not consumed. It must not be called from
// OnData.
func (c *Conn) UnreadBytes() int { return c.reader.unreadBytes() }

// Close ends the connection. It first sends all written bytes. It then waits until the peer has closed the connection,
// but at most for lingerTime. Both together take at most maxFlushTime. OnClosed is called on a later turn. OnData is
// not called any more.
func (c *Conn) Close() { c.closer.close() }

// CloseAfterLinger ends the connection after lingerTime. Until then pending bytes are sent, and the peer can read the
// last response. Nothing more is read from the peer.
func (c *Conn) CloseAfterLinger() { c.closer.closeAfterLinger() }

// CloseIfIdle reads what the socket holds, and then ends the connection as Close does if no bytes are unread. It
// returns true if no bytes are unread. Bytes that this call reads are handed to OnData on a later turn. CloseIfIdle
// must not be called from OnData.
func (c *Conn) CloseIfIdle() bool { return c.closer.closeIfIdle() }

// Abort ends the connection at once and drops the bytes that wait to be sent.
func (c *Conn) Abort() { c.closer.abort() }

// Disconnected reports whether the socket is closed. OnClosed is called on a later turn; bytes that were read before
// the socket was closed are handed to OnData first.
func (c *Conn) Disconnected() bool { return c.closer.disconnected.Load() }

// readable implements socketOwner.
func (c *Conn) readable(scratch []byte, mode readMode) { c.reader.read(scratch, mode) }

// bytesSent implements socketOwner.
func (c *Conn) bytesSent(n int) { c.writer.bytesSent(n) }

// writeFailed implements socketOwner. On a later turn, it reads what the peer has sent and then closes the socket.
func (c *Conn) writeFailed(err error) {
	c.loop.Post(func() { c.reader.readToEndAndClose(err) })
}

// socketClosed implements socketOwner.
func (c *Conn) socketClosed(err error) {
	c.closer.disconnected.Store(true)
	c.loop.Post(func() { c.finish(err) })
}

// finish removes the connection from the loop and notifies the handler. Only the first call has an effect.
func (c *Conn) finish(err error) {
	if c.closer.state.load() == connClosed {
		return
	}
	delete(c.loop.connections, c)
	c.closer.finish()
	c.onEnded()
	c.handler.OnClosed(c, err)
}
