package eventloop

import (
	"time"

	"golang.org/x/sys/unix"
)

// maxDrainTime is how long a connection may take, from Close on, to send what is pending.
const maxDrainTime = 3 * time.Second

// lingerTime is how long a connection stays open behind its last write for its peer to
// close it. It prevents a close that overtakes the last answer: closing a socket with
// unread bytes resets the connection, and the peer may then never see that answer.
const lingerTime = 250 * time.Millisecond

// Close ends the connection once what was written has been sent. OnClosed is called later,
// and OnData no longer.
func (c *Conn) Close() {
	if c.loadState() != connOpen {
		return
	}
	c.setState(connDraining)
	c.drain()
}

// drain sends what is pending and then shuts the write side. The state is connDraining, or
// the connection has ended.
func (c *Conn) drain() {
	c.Redeliver() // drops what was read, and resumes reading where the buffer was full
	if c.pendingWrite.Load() == 0 {
		c.halfClose()
		return
	}
	c.OnFlushed(nil)
	c.loop.Timers.Schedule(c.loop.Now()+maxDrainTime, c.Abort)
}

// CloseAfterLinger ends the connection a moment after its call, in which the peer has
// time to read the last answer. Nothing more is read.
func (c *Conn) CloseAfterLinger() {
	if c.loadState() != connOpen {
		return
	}
	c.setState(connLingering)
	c.socket.waitFor(unix.EPOLLRDHUP)
	c.loop.Timers.Schedule(c.loop.Now()+lingerTime, c.Abort)
}

// Abort ends the connection at once and drops what is pending.
func (c *Conn) Abort() { c.socket.close(nil) }

// halfClose shuts the write side, and leaves the peer a moment to close its own. What
// the peer sends meanwhile is read and discarded.
func (c *Conn) halfClose() {
	if err := c.socket.shutdownWrite(); err != nil {
		c.Abort()
		return
	}
	c.loop.Timers.Schedule(c.loop.Now()+lingerTime, c.Abort)
}

// CloseIfIdle ends the connection as Close does, unless bytes of its peer wait: those read, and
// those that the socket holds, which are read now. It reports whether the connection is ending;
// if not, OnData follows. It must not be called from OnData.
func (c *Conn) CloseIfIdle() bool {
	c.mu.Lock()
	if c.loadState() == connOpen {
		c.readAndPost(c.loop.readBuffer, false)
	}
	idle := c.in.Len() == 0
	if idle && c.loadState() == connOpen {
		c.setState(connDraining) // under mu: what is read from here on is discarded
	}
	c.mu.Unlock()
	if idle {
		c.drain()
	}
	return idle
}
