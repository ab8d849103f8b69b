package lineclient

import (
	"slices"
	"time"

	"flaxrelay/internal/engine"
	"flaxrelay/internal/lifecycle"
)

// connection is one connection with the attempts on it. It belongs to the event
// loop's goroutine.
type connection struct {
	engine.Connection[*connection]

	client    *Client
	streams   map[string]*stream // by request id
	abandoned abandonedIDs
}

// newConnection starts a connection to the engine.
func newConnection(client *Client, target *engine.Engine[*connection]) *connection {
	c := &connection{client: client, streams: map[string]*stream{}, abandoned: newAbandonedIDs()}
	c.Dial(client.shared, target, c)
	return c
}

// accepts reports whether the connection can take a request of this id.
func (c *connection) accepts(id string, now time.Duration) bool {
	return !c.Draining() && len(c.streams) < c.client.maxStreams && c.streams[id] == nil && !c.abandoned.has(id, now)
}

// add puts an attempt on the connection and writes its request, unless that has to
// wait for the dial.
func (c *connection) add(attempt *lifecycle.Attempt) {
	s := &stream{attempt: attempt, conn: c}
	attempt.ClientData = s
	c.streams[attempt.Request.ID] = s
	c.MarkUsed()
	if c.Connected() {
		s.writeRequest()
	}
}

// HandleConnected writes the requests that waited for the dial.
func (c *connection) HandleConnected() {
	c.MarkOpen()
	for _, s := range c.streamsInStartOrder() {
		if c.has(s) {
			s.writeRequest()
		}
	}
	c.closeIfDrained()
	c.WatchIdle()
}

// has reports whether the stream is still on the connection: the end of one attempt
// may make the dispatcher give up another.
func (c *connection) has(s *stream) bool { return c.streams[s.attempt.Request.ID] == s }

// streamsInStartOrder lists the streams in the order in which their attempts
// started: a map has none.
func (c *connection) streamsInStartOrder() []*stream {
	list := make([]*stream, 0, len(c.streams))
	for _, s := range c.streams {
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b *stream) int { return int(a.attempt.StartedAt - b.attempt.StartedAt) })
	return list
}

// InFlight returns the number of attempts on the connection.
func (c *connection) InFlight() int { return len(c.streams) }

// Retire makes the connection accept no new attempts and close once it has none.
func (c *connection) Retire() {
	c.StopAccepting()
	c.closeIfDrained()
}

// closeIfDrained closes a draining connection that has no attempt any more.
func (c *connection) closeIfDrained() {
	if c.Drained() {
		c.Close(lifecycle.StatusIdleClosed)
	}
}

// abandon takes a stream off the connection before its end.
func (c *connection) abandon(s *stream) {
	id := s.attempt.Request.ID
	delete(c.streams, id)
	if s.written && c.Connected() { // a connection that has ended ends its streams one by one
		c.markAbandoned(id)
		switch {
		case s.fetchingPages():
			c.Write(releaseCommand(id))
		case c.client.sendCancel:
			c.Write(cancelCommand(id))
		}
	}
	c.closeIfDrained()
}

// markAbandoned keeps an id from being used again on this connection for a while.
func (c *connection) markAbandoned(id string) { c.abandoned.add(id, c.client.shared.Dispatcher.Now()) }

// finish takes the stream off the connection and ends its attempt.
func (c *connection) finish(s *stream, status lifecycle.AttemptStatus) {
	delete(c.streams, s.attempt.Request.ID)
	c.MarkUsed()
	if status == lifecycle.StatusServed {
		s.report.Result = s.pages
	} else if s.written {
		// A duplicate of this response, or a page, must not be mistaken for the next attempt's.
		c.markAbandoned(s.attempt.Request.ID)
	}
	c.client.shared.Dispatcher.EndAttempt(s.attempt, status, s.report)
	c.closeIfDrained()
}

// ResetStatus returns how attempts end where the engine closes the connection.
func (c *connection) ResetStatus() lifecycle.AttemptStatus { return lifecycle.StatusConnectionReset }

// HandleClosed ends all attempts on the connection.
func (c *connection) HandleClosed(status lifecycle.AttemptStatus) {
	for _, s := range c.streamsInStartOrder() {
		if !c.has(s) {
			continue
		}
		delete(c.streams, s.attempt.Request.ID)
		c.client.shared.Dispatcher.EndAttempt(s.attempt, status, lifecycle.AttemptReport{})
	}
}
