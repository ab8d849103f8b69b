package engine

// WatchIdle retires the connection once it has had no attempt for the idle timeout.
// It is called once, when the connection is open.
func (c *Connection[P]) WatchIdle() {
	timeout := c.client.options.IdleTimeout
	if timeout <= 0 {
		return
	}
	// A connection whose attempt has been running for longer than the timeout is checked
	// again after one more timeout, not at once.
	from := max(c.lastUsed, c.client.Dispatcher.Now()-timeout)
	c.client.Loop.Timers.Schedule(from+timeout, c.checkIdle)
}

// checkIdle retires a connection that has been idle for the idle timeout, and schedules the
// next check of any other.
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
		c.MarkUsed()
	}
	c.WatchIdle()
}
