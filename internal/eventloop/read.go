package eventloop

import (
	"errors"
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// read takes what the socket has until the buffer is full, on the poller's goroutine. Where
// the stream has ended it reads to the end before the data is handed to the handler, so
// that the handler does not act for a client that has left.
func (c *Conn) read(chunk []byte, streamEnded bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readAndPost(chunk, streamEnded)
}

// readAndPost reads and posts the delivery of what was read, and behind it the end of the
// connection where the stream has ended: no byte before the end is lost. The caller holds mu.
func (c *Conn) readAndPost(chunk []byte, streamEnded bool) {
	received, ended, err := c.readAvailable(chunk, streamEnded)
	if received && !c.deliveryPosted {
		c.deliveryPosted = true
		c.loop.Post(c.deliver)
	}
	if ended {
		c.socket.close(err)
	}
}

// readAvailable reads, and reports whether the handler is to be called and whether the stream
// has ended, with an error or without. The caller holds mu.
func (c *Conn) readAvailable(chunk []byte, streamEnded bool) (received, ended bool, err error) {
	for {
		if c.loadState() == connLingering {
			c.socket.waitFor(unix.EPOLLRDHUP)
			return received, false, nil
		}
		if c.in.Len() >= c.bufferLimit() {
			c.pauseReading()
			return received, false, nil
		}
		n, err := c.socket.read(chunk)
		switch {
		case n > 0:
			delivery, more := c.take(chunk[:n])
			received = received || delivery
			if !more || n < len(chunk) && !streamEnded {
				return received, false, nil // what may be left raises another event
			}
		case errors.Is(err, unix.EAGAIN), errors.Is(err, net.ErrClosed):
			return received, false, nil
		default: // the end of the stream, or an error
			return received, true, err
		}
	}
}

// pauseReading stops the poller's events until there is room in the buffer. The end of a
// client whose read-ahead is limited is still noticed; elsewhere what was sent before the
// end comes first. The caller holds mu.
func (c *Conn) pauseReading() {
	c.readPaused = true
	if c.readAheadLimited.Load() {
		c.socket.waitFor(unix.EPOLLRDHUP)
	} else {
		c.socket.waitFor(0)
	}
}

// take keeps received bytes for the handler, or discards them where the connection is
// being closed, as it may be since the read began. It reports whether the handler is to be
// called for them, and whether to go on reading. The caller holds mu.
func (c *Conn) take(data []byte) (delivery, more bool) {
	if c.loadState() != connOpen {
		return false, c.discard(len(data))
	}
	return true, c.buffer(data)
}

// discard counts bytes that came after Close. They are read, since closing a socket with
// unread bytes resets the connection, and dropped. It reports whether to go on reading:
// a peer that sends more than a buffer of them goes on at full speed. The caller holds mu.
func (c *Conn) discard(n int) bool {
	c.discardedOnRead += n
	if c.discardedOnRead > c.readLimit {
		c.socket.waitFor(unix.EPOLLRDHUP)
		return false
	}
	return true
}

// buffer keeps what was read for the handler. It reports false where that closed the
// connection: past the loop's budget, one that needs more than one read is closed, since
// many peers that each stop in the middle of a long message would take all memory. The
// caller holds mu.
func (c *Conn) buffer(data []byte) bool {
	c.in.append(data, c.arrivalTime())
	total := c.loop.bufferedBytes.Add(int64(len(data)))
	if total <= c.loop.BufferBudget || c.in.Len() <= readSize {
		return true
	}
	c.releaseBuffer() // at once: other connections need the memory
	c.socket.close(errBufferBudgetExceeded)
	return false
}

// arrivalTime returns when the bytes that have just been read arrived, which is now unless
// they may have waited: for the connection to be accepted, or for space in the buffer. The
// caller holds mu.
func (c *Conn) arrivalTime() time.Duration {
	now := c.loop.Now()
	if !c.readLate {
		return now
	}
	c.readLate = false
	return now - c.socket.lastDataAge()
}

// bufferLimit is how much the buffer may hold before reading pauses; the peer's own
// writes then wait. It has to be enough for the largest message, and one read may pass
// it.
func (c *Conn) bufferLimit() int {
	if c.readAheadLimited.Load() {
		return min(readSize, c.readLimit)
	}
	return c.readLimit
}

// LimitReadAhead bounds what is read ahead while the handler consumes nothing, as during a
// client's request in flight. Redeliver must be called after the limit is lifted.
func (c *Conn) LimitReadAhead(on bool) { c.readAheadLimited.Store(on) }

// Redeliver schedules another call of OnData, on a later turn, for what an earlier call
// left in the buffer.
func (c *Conn) Redeliver() { c.loop.Post(c.deliver) }

// deliver hands the buffer to the handler, and resumes a read that waits for free space.
func (c *Conn) deliver() {
	c.mu.Lock()
	c.deliveryPosted = false
	before := c.in.Len()
	switch c.loadState() {
	case connOpen:
		c.handler.OnData(c, &c.in)
	case connDraining, connLingering:
		// The peer of a closed connection must take what it sent last as not acted on.
		c.in.Consume(before)
	case connClosed:
	}
	c.loop.bufferedBytes.Add(int64(c.in.Len() - before))
	switch {
	case !c.readPaused:
	case c.in.Len() < c.bufferLimit():
		c.readPaused, c.readLate = false, true
		c.socket.waitFor(readEvents)
	default:
		c.pauseReading() // anew: the handler may have limited the read-ahead
	}
	c.mu.Unlock()
}
