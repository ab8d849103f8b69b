package engine

// WatchIdle retires the connection when it has had no attempt for the idle timeout. The
// protocol calls it once, when the connection is open.
func (c *Connection[P]) WatchIdle() {
	timeout := c.client.options.IdleTimeout
	if timeout <= 0 {
		return
	}
	// After a slow dial, the timeout since lastUsed may have passed. The check is then due at once.
	from := max(c.lastUsed, c.client.Dispatcher.Now()-timeout)
	c.client.Loop.Timers.Schedule(from+timeout, c.checkIdle)
}

// checkIdle retires the connection if it has been idle for the idle timeout. Otherwise it
// schedules the next check.
func (c *Connection[P]) checkIdle() {
	if !c.Connected() {
		return
	}
	inFlight := c.protocol.InFlight()
	if inFlight == 0 && c.client.Dispatcher.Now() >= c.lastUsed+c.client.options.IdleTimeout {
		c.protocol.Retire()
		return
	}
	if inFlight > 0 {
		c.MarkUsed() // the next check is one timeout from now
	}
	c.WatchIdle()
}
