package httpserver

import (
	"time"

	"flaxrelay/internal/eventloop"
	"flaxrelay/internal/metrics"
)

const (
	// maxIdleTime is how long a connection is kept after its last request. Clients close theirs sooner.
	maxIdleTime = 30 * time.Second
	// idleCheckInterval is the time between two searches for connections past maxIdleTime.
	idleCheckInterval = maxIdleTime / 4
	// minIdleTime is how long a connection is idle before it may be evicted: the client's next request could cross
	// the close.
	minIdleTime = 100 * time.Millisecond
	// minSilentTime is how long a new connection has for its first bytes before it may be evicted.
	minSilentTime = 20 * time.Millisecond
)

// evictor decides which connections are closed while nothing is outstanding on them: those that are idle for too
// long, and those whose descriptors new connections need. It belongs to the goroutine of the event loop.
type evictor struct {
	loop           *eventloop.Loop
	counters       *metrics.Counters
	connections    map[*connection]struct{} // the server's
	maxClients     int                      // open connections, without those that are closing or being evicted
	retryScheduled bool                     // a timer will call evictExcess again
}

// closeIdle closes the connections that are idle for too long, now and at intervals.
func (e *evictor) closeIdle() {
	now := e.loop.Now()
	for c := range e.connections {
		if c.unused() && now-c.lastActive > maxIdleTime && c.closeUnused(closeIdleTimeout) {
			e.counters.Increment(metrics.HTTPIdleClosed)
		}
	}
	e.loop.Timers.Schedule(now+idleCheckInterval, e.closeIdle)
}

// evictExcess evicts connections while too many are open: the oldest without a valid request first, then the longest
// idle. This protects against clients that connect by the hundred, or make one request and stay: the others would
// find no descriptor left. Where none can be evicted yet it is called again by a timer: at the limit nothing more is
// accepted, so nothing else would call it.
func (e *evictor) evictExcess() {
	for {
		open, victim := e.findVictim()
		if open <= e.maxClients {
			return
		}
		if victim == nil {
			e.scheduleRetry()
			return
		}
		victim.evict()
	}
}

// findVictim counts the open connections and returns the one to evict first, or nil if none may be evicted yet.
// Connections that only wait for their client to read the last response are aborted meanwhile, once it has been
// sent.
func (e *evictor) findVictim() (open int, victim *connection) {
	now := e.loop.Now()
	for c := range e.connections {
		switch c.state {
		case stateEvicting: // it ends once its requests are rejected
		case stateClosing:
			if c.socket.PendingWrite() == 0 {
				c.socket.Abort()
			}
		default:
			open++
			if c.evictable(now) && (victim == nil || c.evictedBefore(victim)) {
				victim = c
			}
		}
	}
	return open, victim
}

func (e *evictor) scheduleRetry() {
	if e.retryScheduled {
		return
	}
	e.retryScheduled = true
	e.loop.Timers.Schedule(e.loop.Now()+minSilentTime, func() {
		e.retryScheduled = false
		e.evictExcess()
	})
}

// evict closes the connection in favour of others. Where requests of a new client have arrived, or a part of one,
// these are rejected first. A client that was served before keeps its connection then.
func (c *connection) evict() {
	if !c.closeUnused(closeEvicted) {
		if c.state != stateNew {
			return
		}
		c.state = stateEvicting
		c.socket.Redeliver()
	}
	c.server.counters.Increment(metrics.HTTPEvicted)
}

// evictable reports whether the connection may be closed in favour of others.
func (c *connection) evictable(now time.Duration) bool {
	inactive := now - c.lastActive
	switch c.state {
	case stateNew:
		return inactive >= minSilentTime
	case stateIdle:
		return inactive >= minIdleTime && c.unused()
	case statePaging, stateInFlight, stateEvicting, stateClosing:
		return false
	}
	return false
}

// evictedBefore orders evictable connections.
func (c *connection) evictedBefore(other *connection) bool {
	isNew := c.state == stateNew
	if otherIsNew := other.state == stateNew; isNew != otherIsNew {
		return isNew
	}
	return c.lastActive < other.lastActive
}
