package lineclient

import (
	"slices"
	"time"

	"flaxrelay/internal/engine"
	"flaxrelay/internal/lifecycle"
	"flaxrelay/internal/metrics"
)

// connection is one connection with the attempts on it. It is open as soon as it is
// connected, since the protocol has no startup. It belongs to the event loop's goroutine.
type connection struct {
	engine.Connection[*connection]

	client    *Client
	streams   map[string]*stream // by request id
	abandoned abandonedIDs
}

// newConnection starts a connection to the engine.
func newConnection(client *Client, target *engine.Engine[*connection]) *connection {
	c := &connection{client: client, streams: map[string]*stream{}, abandoned: newAbandonedIDs()}
	c.Dial(client.Client, target, c)
	return c
}

// accepts reports whether an attempt of a request of this id may be put on the connection.
func (c *connection) accepts(id string, now time.Duration) bool {
	if c.Retiring() || len(c.streams) >= c.client.maxStreams {
		return false
	}
	return c.streams[id] == nil && !c.abandoned.has(id, now)
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
	c.CloseIfDrained()
	c.WatchIdle()
}

// has reports whether the stream is still on the connection. The end of one attempt may make
// the dispatcher abandon another.
func (c *connection) has(s *stream) bool { return c.streams[s.attempt.Request.ID] == s }

// streamsInStartOrder lists the streams in the order in which their attempts started, so that
// what follows does not depend on the order of a map.
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

// markAbandoned prevents that an id is used again on this connection for a while.
func (c *connection) markAbandoned(id string) { c.abandoned.add(id, c.client.Dispatcher.Now()) }

// ResetStatus returns how attempts end where the engine closes the connection.
func (c *connection) ResetStatus() lifecycle.AttemptStatus { return lifecycle.StatusConnectionReset }

// HandleClosed ends all attempts on the connection.
func (c *connection) HandleClosed(status lifecycle.AttemptStatus) {
	for _, s := range c.streamsInStartOrder() {
		if !c.has(s) {
			continue
		}
		delete(c.streams, s.attempt.Request.ID)
		c.client.Dispatcher.EndAttempt(s.attempt, status, lifecycle.AttemptReport{})
	}
}

// HandleMessage handles the first response of in.
func (c *connection) HandleMessage(in []byte) (length int, err error) {
	parsed, length, err := parseResponse(in)
	if err != nil || length == 0 {
		return 0, err
	}
	s := c.streams[parsed.requestID]
	if s == nil { // the request was abandoned
		c.client.Counters.Increment(metrics.EngineConnectionsLateResponses)
		return length, nil
	}
	return length, s.handle(parsed)
}
