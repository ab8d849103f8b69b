package eventloop

// Write sends data, or queues what the socket does not take at once. It returns false
// where the connection is closing or has ended; data was not sent completely then, and
// OnClosed reports the reason.
func (c *Conn) Write(data []byte) bool {
	if c.loadState() != connOpen {
		return false
	}
	if len(data) == 0 {
		return true
	}
	c.pendingWrite.Add(int64(len(data)))
	return c.socket.write(data) == nil
}

// PendingWrite returns the number of bytes that wait to be sent.
func (c *Conn) PendingWrite() int { return int(c.pendingWrite.Load()) }

// OnFlushed schedules f to run on a later turn, once nothing waits to be sent.
func (c *Conn) OnFlushed(f func()) {
	c.onFlushed = f
	c.flushAwaited.Store(true)
	if c.pendingWrite.Load() == 0 {
		c.loop.Post(c.flushed)
	}
}

// bytesWritten counts what was sent, on whichever goroutine that was.
func (c *Conn) bytesWritten(n int) {
	if c.pendingWrite.Add(-int64(n)) == 0 && c.flushAwaited.Load() {
		c.loop.Post(c.flushed)
	}
}

// flushed goes on with what waited for the pending writes.
func (c *Conn) flushed() {
	if c.pendingWrite.Load() > 0 || !c.flushAwaited.Swap(false) {
		return
	}
	if c.loadState() == connDraining {
		c.halfClose()
	}
	if f := c.onFlushed; f != nil {
		c.onFlushed = nil
		f()
	}
}
