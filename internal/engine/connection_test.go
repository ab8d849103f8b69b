package engine

import (
	"errors"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"

	"flaxrelay/internal/eventloop"
	"flaxrelay/internal/eventloop/eventlooptest"
	"flaxrelay/internal/lifecycle"
	"flaxrelay/internal/metrics"
	"flaxrelay/internal/tcptest"
)

// fakeConnection is a connection of a protocol that has no messages.
type fakeConnection struct {
	Connection[*fakeConnection]

	inFlight int
	retired  bool
	messages []string // the lines that HandleMessage has read
	closed   chan lifecycle.AttemptStatus
}

// testTimeout limits every wait.
const testTimeout = 10 * time.Second

var errFakeProtocol = errors.New("not a message")

func (c *fakeConnection) Retire()          { c.retired = true }
func (c *fakeConnection) HandleConnected() { c.MarkOpen() }
func (c *fakeConnection) InFlight() int    { return c.inFlight }
func (c *fakeConnection) ResetStatus() lifecycle.AttemptStatus {
	return lifecycle.StatusConnectionReset
}

func (c *fakeConnection) HandleMessage(in []byte) (int, error) {
	line, _, complete := strings.Cut(string(in), "\n")
	switch {
	case !complete:
		return 0, nil
	case line == "":
		return 0, errFakeProtocol
	}
	c.messages = append(c.messages, line)
	return len(line) + 1, nil
}

func (c *fakeConnection) HandleClosed(status lifecycle.AttemptStatus) { c.closed <- status }

func newFakeClient() *Client[*fakeConnection] {
	return NewClient[*fakeConnection](nil, nil, Options{}, metrics.New(), slog.New(slog.DiscardHandler))
}

// newFakeConnection returns a connection in this state, with the fields that Dial sets.
func newFakeConnection(client *Client[*fakeConnection], state State) *fakeConnection {
	c := &fakeConnection{closed: make(chan lifecycle.AttemptStatus, 1)}
	c.client = client
	c.engine = &Engine[*fakeConnection]{ID: "e1"}
	c.protocol = c
	c.state = state
	c.engine.Connections = append(c.engine.Connections, c)
	client.accepting[&c.Connection] = struct{}{}
	return c
}

func listen(t *testing.T) *net.TCPListener {
	t.Helper()
	listener := tcptest.Listen(t, tcptest.AnyLoopbackPort)
	if err := listener.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	return listener
}

func TestEnsureCapacity_EvictsTheLeastRecentlyUsedIdleConnection(t *testing.T) {
	client := newFakeClient()
	dialing := newFakeConnection(client, StateDialing)
	busy := newFakeConnection(client, StateOpen)
	busy.inFlight = 1
	recent := newFakeConnection(client, StateOpen)
	recent.lastUsed = 2 * time.Second
	leastRecent := newFakeConnection(client, StateOpen)
	leastRecent.lastUsed = time.Second
	if !client.EnsureCapacity(0) || !client.EnsureCapacity(5) || leastRecent.retired {
		t.Error("a connection was evicted below the limit")
	}
	if !client.EnsureCapacity(4) || !leastRecent.retired || dialing.retired || busy.retired || recent.retired {
		t.Error("want only the least recently used idle connection evicted")
	}
	recent.StopAccepting()
	leastRecent.StopAccepting()
	if client.EnsureCapacity(2) {
		t.Error("EnsureCapacity returned true although no connection is idle")
	}
}

func TestOnClosed_ReportsWhoClosedTheConnection(t *testing.T) {
	for name, test := range map[string]struct {
		inFlight    int
		closeStatus lifecycle.AttemptStatus
		want        lifecycle.AttemptStatus
	}{
		"engine, idle":     {0, lifecycle.StatusUnknown, lifecycle.StatusIdleClosed},
		"engine, in use":   {1, lifecycle.StatusUnknown, lifecycle.StatusConnectionReset},
		"this side":        {1, lifecycle.StatusCancelled, lifecycle.StatusCancelled},
		"this side, twice": {0, lifecycle.StatusProtocolError, lifecycle.StatusProtocolError},
	} {
		t.Run(name, func(t *testing.T) {
			client := newFakeClient()
			c := newFakeConnection(client, StateOpen)
			c.inFlight = test.inFlight
			if test.closeStatus != lifecycle.StatusUnknown {
				c.beginClose(test.closeStatus)
				c.beginClose(lifecycle.StatusIdleClosed) // does not replace the first status
			}
			c.OnClosed(nil, nil)
			if status := <-c.closed; status != test.want {
				t.Errorf("closed with %v, want %v", status, test.want)
			}
			if c.State() != StateClosed || len(c.engine.Connections) != 0 || len(client.accepting) != 0 {
				t.Error("the client still refers to the connection")
			}
			if client.Counters.Get(metrics.EngineConnectionsClosed.With(test.want.String())) != 1 {
				t.Error("the end of the connection is not counted")
			}
		})
	}
}

// runLoop runs an event loop until the end of the test.
func runLoop(t *testing.T) *eventloop.Loop {
	t.Helper()
	loop, err := eventloop.New()
	if err != nil {
		t.Fatal(err)
	}
	eventlooptest.Run(t, loop)
	return loop
}

// The engine sends two messages, and then a message that can't be read or whose end does not
// arrive in time.
func TestConnection_EndsOnProtocolErrors(t *testing.T) {
	for name, test := range map[string]struct {
		last                         string
		stallTimeout, messageTimeout time.Duration
	}{
		"malformed": {"\n", testTimeout, testTimeout},
		"stalled":   {"thr", time.Millisecond, 0},
		"too long":  {"thr", testTimeout, time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			loop := runLoop(t)
			listener := listen(t)
			options := Options{
				ConnectTimeout: testTimeout, ReadBufferBytes: 1 << 10,
				StallTimeout: test.stallTimeout, MessageTimeout: test.messageTimeout,
			}
			client := NewClient[*fakeConnection](loop, nil, options, metrics.New(), slog.New(slog.DiscardHandler))
			c := &fakeConnection{inFlight: 1, closed: make(chan lifecycle.AttemptStatus, 1)}
			engine := &Engine[*fakeConnection]{ID: "e1", Address: listener.Addr().String()}
			loop.Post(func() { c.Dial(client, engine, c) })
			peer, err := listener.Accept()
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = peer.Close() })
			if _, err := peer.Write([]byte("one\ntwo\n" + test.last)); err != nil {
				t.Fatal(err)
			}
			select {
			case status := <-c.closed:
				if status != lifecycle.StatusProtocolError {
					t.Errorf("closed with %v, want %v", status, lifecycle.StatusProtocolError)
				}
			case <-time.After(testTimeout):
				t.Fatal("the connection is not closed")
			}
			if got := strings.Join(c.messages, " "); got != "one two" {
				t.Errorf("read %q, want %q", got, "one two")
			}
		})
	}
}
