package eventloop

import "fmt"

// Handler is called with the events of one connection, on the loop's goroutine.
type Handler interface {
	// OnData is called after the buffer has grown, and after Conn.Redeliver. Bytes that it does not consume stay in the
	// buffer. It must not call Conn.UnreadBytes or Conn.CloseIfIdle.
	OnData(c *Conn, in *Buffer)
	// OnClosed is called once, after the connection has ended. The error is nil if the peer ended the stream, or if
	// the connection was closed from this side.
	OnClosed(c *Conn, err error)
}

// Conn is one connection. It composes a reader, a writer and a closer over one socket; the package comment states the
// goroutines and the lock rules. Its exported methods belong to the loop's goroutine.
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

// adopt hands a connected socket to the poller. The function onEnded is called once the connection has ended. After an
// error the socket is closed, and neither newHandler nor onEnded is called. It belongs to the loop's goroutine.
func (l *Loop) adopt(s *socket, readLimit int, newHandler func(*Conn) Handler, onEnded func()) (*Conn, error) {
	c := newConn(l, s, readLimit)
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
func newConn(l *Loop, s *socket, readLimit int) *Conn {
	c := &Conn{loop: l, socket: s}
	state := &c.closer.state
	c.reader = reader{loop: l, socket: s, state: state, limit: readLimit}
	c.reader.onData = func(in *Buffer) { c.handler.OnData(c, in) }
	c.reader.bytesMayHaveWaited = true // for the connection to be accepted
	c.writer = writer{loop: l, socket: s, state: state, notifyCloser: c.closer.writesFlushed}
	c.closer.loop = l
	c.closer.socket = s
	c.closer.reader = &c.reader
	c.closer.writer = &c.writer
	return c
}

// Write sends data, or queues what the socket does not accept at once. It returns false if the connection is closing or
// has ended, or if this write fails. Data was not sent completely then, and OnClosed reports the reason.
func (c *Conn) Write(data []byte) bool { return c.writer.write(data) }

// PendingWrite returns the number of bytes that wait to be sent.
func (c *Conn) PendingWrite() int { return int(c.writer.pending.Load()) }

// OnFlushed schedules f to run on a later turn, once no bytes wait to be sent. It replaces the function of an earlier
// call that has not run yet. A close that waits for pending bytes drops that function.
func (c *Conn) OnFlushed(f func()) { c.writer.notifyWhenFlushed(f) }

// LimitReadAhead sets whether only a little is read while the handler consumes nothing, as during a client's request in
// flight. Redeliver must be called after the limit is lifted.
func (c *Conn) LimitReadAhead(on bool) { c.reader.aheadLimited.Store(on) }

// Redeliver schedules another call of OnData, on a later turn, for the bytes that an earlier call left in the buffer.
func (c *Conn) Redeliver() { c.reader.redeliver() }

// UnreadBytes returns the number of received bytes that the handler has not consumed. It must not be called from
// OnData.
func (c *Conn) UnreadBytes() int { return c.reader.unreadBytes() }

// Close ends the connection once what was written has been sent. OnClosed is called later, and OnData no longer.
func (c *Conn) Close() { c.closer.close() }

// CloseAfterLinger ends the connection a moment after its call, in which the peer has time to read the last response.
// Nothing more is read.
func (c *Conn) CloseAfterLinger() { c.closer.closeAfterLinger() }

// CloseIfIdle ends the connection as Close does, unless bytes of its peer wait: those in the read buffer, and those in
// the socket, which are read now. It reports whether the connection is closing. If it is not, OnData follows.
// CloseIfIdle must not be called from OnData.
func (c *Conn) CloseIfIdle() bool { return c.closer.closeIfIdle() }

// Abort ends the connection at once and drops what is pending.
func (c *Conn) Abort() { c.closer.abort() }

// Disconnected reports whether the connection has ended, which it does before OnClosed is called. Bytes that were read
// before the end are still handed to OnData.
func (c *Conn) Disconnected() bool { return c.closer.disconnected.Load() }

// readable implements socketOwner.
func (c *Conn) readable(chunk []byte, streamEnded bool) { c.reader.read(chunk, streamEnded) }

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

// finish ends the connection for the loop and the handler, once.
func (c *Conn) finish(err error) {
	if c.closer.state.load() == connClosed {
		return
	}
	delete(c.loop.connections, c)
	c.closer.finish()
	c.onEnded()
	c.handler.OnClosed(c, err)
}
