package httpserver

import (
	"time"

	"flaxrelay/internal/eventloop"
	"flaxrelay/internal/metrics"
)

const (
	// maxIdleTime is how long a connection is kept after its last request or response. Clients close their idle
	// connections earlier.
	maxIdleTime = 30 * time.Second
	// idleCheckInterval is the time between two checks for connections past maxIdleTime.
	idleCheckInterval = maxIdleTime / 4
	// minIdleTime is how long a connection is idle before it may be evicted. A client that has just received a response
	// may send its next request before it notices the close.
	minIdleTime = 100 * time.Millisecond
	// minOpenTime is how long a new connection is open before it may be evicted.
	minOpenTime = 20 * time.Millisecond
	// evictionRetryDelay is the time until the next search for a connection to evict, if none may be evicted yet.
	evictionRetryDelay = minOpenTime
)

// evictor closes connections that are idle for too long. If too many connections are open, it also closes some of them
// to free descriptors for new connections. It must be used from the goroutine of the event loop only.
type evictor struct {
	loop           *eventloop.Loop
	counters       *metrics.Counters
	connections    map[*connection]struct{} // shared with the server
	maxClients     int                      // limit of open connections, not counting those that are closing or evicted
	retryScheduled bool                     // a timer will call evictExcess again
}

// closeIdle closes the connections that are idle for too long. It calls itself again after each idleCheckInterval.
func (e *evictor) closeIdle() {
	now := e.loop.Now()
	for c := range e.connections {
		if c.unused() && now-c.lastActive > maxIdleTime && c.closeUnused(closeIdleTimeout) {
			e.counters.Increment(metrics.HTTPIdleClosed)
		}
	}
	e.loop.Timers.Schedule(now+idleCheckInterval, e.closeIdle)
}

// evictExcess evicts connections while too many are open. It starts with the connections without a valid request, the
// oldest first. Next are those that have been idle for the longest time. This protects against clients that open
// hundreds of connections, or keep them open after one request: other clients would find no descriptor left. If no
// connection can be evicted yet, a timer calls evictExcess again. No other event would call it once the listener's
// limit is reached, since no further connection is then accepted.
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

// findVictim counts the open connections and returns the one to evict first, or nil if none may be evicted yet. It also
// aborts the closing connections that have sent all their bytes, to release their descriptors.
func (e *evictor) findVictim() (open int, victim *connection) {
	now := e.loop.Now()
	for c := range e.connections {
		switch c.state {
		case stateEvicting: // it is closed once its requests are rejected
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
	e.loop.Timers.Schedule(e.loop.Now()+evictionRetryDelay, func() {
		e.retryScheduled = false
		e.evictExcess()
	})
}

// evict closes the connection to make a descriptor available. If bytes of requests are unread, the connection is not
// closed at once: a new client's requests are rejected first, and a client that was served before keeps its connection.
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

// evictable reports whether the connection may be evicted.
func (c *connection) evictable(now time.Duration) bool {
	inactive := now - c.lastActive
	switch c.state {
	case stateNew:
		return inactive >= minOpenTime
	case stateIdle:
		return inactive >= minIdleTime && c.unused()
	case statePaging, stateInFlight, stateEvicting, stateClosing:
		return false
	}
	return false
}

// evictedBefore reports whether the connection must be evicted before the other one if both are evictable.
func (c *connection) evictedBefore(other *connection) bool {
	isNew := c.state == stateNew
	if otherIsNew := other.state == stateNew; isNew != otherIsNew {
		return isNew
	}
	return c.lastActive < other.lastActive
}
