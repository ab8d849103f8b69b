package httpserver

import "time"

const (
	// maxIdleTime is how long a connection is kept after its last request. Clients close
	// theirs sooner.
	maxIdleTime = 30 * time.Second
	// idleCheckInterval is the time between two searches for connections past maxIdleTime.
	idleCheckInterval = maxIdleTime / 4
	// minIdleTime is how long a connection is idle before it may be evicted: the client's
	// next request could cross the close.
	minIdleTime = 100 * time.Millisecond
	// minSilentTime is how long a new connection has for its first bytes before it may be
	// evicted.
	minSilentTime = 20 * time.Millisecond
)

// closeIdle closes the connections that are idle for too long, now and at intervals.
func (s *Server) closeIdle() {
	now := s.loop.Now()
	for c := range s.connections {
		if c.idle() && now-c.lastActive > maxIdleTime && c.closeUnused(closeIdleTimeout) {
			s.counters.IncrementByName("http.idle-closed")
		}
	}
	s.loop.Timers.Schedule(now+idleCheckInterval, s.closeIdle)
}

// evictExcess evicts connections while too many are open: the oldest without a valid
// request first, then the longest idle. This protects against clients that connect by
// the hundred, or make one request and stay: the others would find no descriptor left.
// Where none can be evicted yet it is called again by a timer: at the limit nothing more
// is accepted, so nothing else would call it.
func (s *Server) evictExcess() {
	for {
		open, victim := s.findVictim()
		if open <= s.options.MaxClients {
			return
		}
		if victim == nil {
			s.retryEviction()
			return
		}
		victim.evict()
	}
}

// evict closes the connection in favour of others. A client whose first request has arrived, or
// a part of it, is refused first, and so are those behind it; one that was served before keeps
// its connection then.
func (c *connection) evict() {
	if !c.closeUnused(closeEvicted) {
		if c.validRequestSeen {
			return
		}
		c.evicting = true
		c.socket.Redeliver()
	}
	c.server.counters.IncrementByName("http.evicted")
}

// findVictim counts the open connections and returns the one to evict first, or nil if
// none may be evicted yet. Connections that only wait for their client to read the last
// response are aborted meanwhile, once it has been sent.
func (s *Server) findVictim() (open int, victim *connection) {
	now := s.loop.Now()
	for c := range s.connections {
		if c.evicting && c.state != stateClosing { // it ends once its requests are refused
			continue
		}
		if c.state == stateClosing {
			if c.socket.PendingWrite() == 0 {
				c.socket.Abort()
			}
			continue
		}
		open++
		if c.evictable(now) && (victim == nil || c.evictedBefore(victim)) {
			victim = c
		}
	}
	return open, victim
}

func (s *Server) retryEviction() {
	if s.evictionRetrySet {
		return
	}
	s.evictionRetrySet = true
	s.loop.Timers.Schedule(s.loop.Now()+minSilentTime, func() {
		s.evictionRetrySet = false
		s.evictExcess()
	})
}

// evictable reports whether the connection may be closed in favour of others.
func (c *connection) evictable(now time.Duration) bool {
	inactive := now - c.lastActive
	if c.state == stateInFlight || inactive < minSilentTime {
		return false
	}
	return !c.validRequestSeen || c.idle() && inactive >= minIdleTime
}

// evictedBefore orders evictable connections.
func (c *connection) evictedBefore(other *connection) bool {
	if c.validRequestSeen != other.validRequestSeen {
		return other.validRequestSeen
	}
	return c.lastActive < other.lastActive
}
