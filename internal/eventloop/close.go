package eventloop

import (
	"syscall"
	"time"
)

// maxDrainTime is how long a connection may take, from Close on, to send what is pending.
const maxDrainTime = 3 * time.Second

// lingerTime is how long a connection stays open behind its last write for its peer to
// close it. It prevents a close that overtakes the last answer: closing a socket with
// unread bytes resets the connection, and the peer may then never see that answer.
const lingerTime = 250 * time.Millisecond

// Close ends the connection once what was written has been sent: nbio's own close would
// drop it. OnClosed is called later, and OnData no longer.
func (c *Conn) Close() {
	if c.loadState() != connOpen {
		return
	}
	c.setState(connDraining)
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
	c.loop.Timers.Schedule(c.loop.Now()+lingerTime, c.Abort)
}

// Abort ends the connection at once and drops what is pending.
func (c *Conn) Abort() { _ = c.socket.Close() }

// halfClose shuts the write side, and leaves the peer a moment to close its own. What
// the peer sends meanwhile is read and discarded.
func (c *Conn) halfClose() {
	if err := c.closeWrite(); err != nil {
		c.Abort()
		return
	}
	c.loop.Timers.Schedule(c.loop.Now()+lingerTime, c.Abort)
}

// closeWrite shuts the write side. It holds nbio's lock, since the poller may be closing
// the descriptor, and another connection may have its number by then.
func (c *Conn) closeWrite() error {
	c.socket.Lock()
	defer c.socket.Unlock()
	if closed, reason := c.socket.IsClosed(); closed {
		return reason
	}
	rawConn, err := c.socket.SyscallConn()
	if err != nil {
		return err
	}
	var shutdownErr error
	err = rawConn.Control(func(fd uintptr) { shutdownErr = syscall.Shutdown(int(fd), syscall.SHUT_WR) })
	if err != nil {
		return err
	}
	return shutdownErr
}
