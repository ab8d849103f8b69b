package lineclient

import (
	"cmp"
	"slices"

	"flaxrelay/internal/engine"
	"flaxrelay/internal/lifecycle"
	"flaxrelay/internal/metrics"
)

// connection is one connection to an engine. It owns the streams on it, one for each attempt.
// It is open as soon as it is connected, because the protocol has no startup. It may be used
// only on the event loop's goroutine.
type connection struct {
	engine.Connection[*connection]

	client  *Client
	parser  responseParser
	streams map[string]*stream // by request id
	usedIDs usedIDs
	// lastWritten is the stream whose request was written last. While bytes wait to be sent, they are the end of this
	// request and commands after it.
	lastWritten *stream
}

// newConnection returns a new connection to the engine and starts its dial.
func newConnection(client *Client, target *engine.Engine[*connection]) *connection {
	c := &connection{client: client, streams: map[string]*stream{}, usedIDs: newUsedIDs()}
	c.Dial(client.Client, target, c)
	return c
}

// accepts reports whether an attempt of the request with this id may be put on the connection.
func (c *connection) accepts(id string) bool {
	if c.Retiring() || len(c.streams) >= c.client.maxStreams {
		return false
	}
	return c.streams[id] == nil && !c.usedIDs.has(id)
}

// add puts an attempt on the connection. It writes the request if the connection is connected;
// otherwise HandleConnected does.
func (c *connection) add(attempt *lifecycle.Attempt) {
	s := &stream{attempt: attempt, conn: c}
	attempt.ClientData = s
	c.streams[attempt.Request.ID] = s
	c.MarkUsed()
	if c.Connected() {
		c.writeWaiting()
	}
}

// HandleConnected writes the requests that waited for the dial.
func (c *connection) HandleConnected() {
	c.MarkOpen()
	c.writeWaiting()
	c.CloseIfRetiringAndIdle()
	c.WatchIdle()
}

// writeWaiting writes the requests that wait, in the order of their starts, until the socket accepts no
// more. The others wait on. If they were queued instead, they would be sent even if their requests had
// ended by then.
func (c *connection) writeWaiting() {
	for _, s := range c.streamsInStartOrder() {
		if !c.has(s) || s.Written() {
			continue
		}
		if !c.Connected() {
			return
		}
		if c.PendingWrite() > 0 {
			c.OnFlushed(c.writeWaiting)
			return
		}
		s.writeRequest()
	}
}

// has reports whether the stream is still on the connection. When one attempt ends, the
// dispatcher may abandon others in the same call.
func (c *connection) has(s *stream) bool { return c.streams[s.attempt.Request.ID] == s }

// streamsInStartOrder returns the streams in the order in which their attempts started. The
// iteration order of the map is random.
func (c *connection) streamsInStartOrder() []*stream {
	list := make([]*stream, 0, len(c.streams))
	for _, s := range c.streams {
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b *stream) int { return cmp.Compare(a.attempt.StartedAt, b.attempt.StartedAt) })
	return list
}

// InFlight returns the number of attempts on the connection.
func (c *connection) InFlight() int { return len(c.streams) }

// useID records that a request with this id is being written.
func (c *connection) useID(id string) {
	c.usedIDs.add(id)
	if c.usedIDs.full() {
		c.client.Counters.Increment(metrics.EngineConnectionsIDsExhausted)
		c.StopAccepting()
	}
}

// ResetStatus returns the status of attempts whose connection the engine has closed.
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

// HandleMessage handles the first response of in. It ignores a response whose request has no
// stream, because the request was abandoned or has ended.
func (c *connection) HandleMessage(in []byte) (size int, err error) {
	parsed, size, err := c.parser.parse(in)
	if err != nil || size == 0 {
		return 0, err
	}
	s := c.streams[parsed.requestID]
	if s == nil {
		c.client.Counters.Increment(metrics.EngineConnectionsLateResponses)
		return size, nil
	}
	return size, s.handle(parsed)
}
