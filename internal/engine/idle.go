package engine

// WatchIdle retires the connection when it has had no attempt for the idle timeout. The
// protocol calls it once, when the connection is open.
func (c *Connection[P]) WatchIdle() {
	if c.client.options.IdleTimeout > 0 {
		c.scheduleIdleCheck()
	}
}

// scheduleIdleCheck schedules a check for the end of the idle timeout. After a slow dial, the
// timeout may have passed already; the check is then due at once.
func (c *Connection[P]) scheduleIdleCheck() {
	due := max(c.lastUsed+c.client.options.IdleTimeout, c.client.Dispatcher.Now())
	c.client.Loop.Timers.Schedule(due, c.checkIdle)
}

// checkIdle retires the connection if it has been idle for the idle timeout. Otherwise it
// schedules the next check.
func (c *Connection[P]) checkIdle() {
	if !c.Connected() {
		return
	}
	switch {
	case c.protocol.InFlight() > 0:
		c.MarkUsed() // the next check is one timeout from now
	case c.client.Dispatcher.Now() >= c.lastUsed+c.client.options.IdleTimeout:
		c.protocol.Retire()
		return
	}
	c.scheduleIdleCheck()
}
