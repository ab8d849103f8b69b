package eventbus

import (
	"errors"
	"net"
	"testing"
	"time"

	"flaxrelay/internal/discovery/discoverytest"
	"flaxrelay/internal/eventloop"
	"flaxrelay/internal/lifecycle"
	"flaxrelay/internal/tcptest"
	"flaxrelay/policy"

	"github.com/google/go-cmp/cmp"
)

// update is one notification of the sink.
type update struct {
	Mode    policy.UpdateMode
	Engines []lifecycle.Endpoint
}

// recorder is a sink that keeps its notifications.
type recorder chan update

func (r recorder) UpdateEndpoints(mode policy.UpdateMode, engines []lifecycle.Endpoint) {
	r <- update{mode, engines}
}

// The bus dies between two events, in the middle of a frame, and comes back: the watcher
// resumes after the last event that it has taken. A repeated event counts once, and a
// malformed frame ends the connection alone.
func TestResumesFromTheLastNumber(t *testing.T) {
	first := record{id: 7, ip: [4]byte{127, 0, 0, 9}, port: 70, zone: 1, cell: 3, weight: 1000}
	second := record{id: 8, ip: [4]byte{127, 0, 0, 9}, port: 80, zone: 1, cell: 3, weight: 1000, startTime: 5000}
	draining := second
	draining.state = 1
	streams := [][]byte{
		append(encodeFrame(4, frameFull, first.encode()), encodeFrame(5, frameDelta, second.encode())[:20]...),
		append(encodeFrame(0, frameHeartbeat), encodeFrame(5, 9)...),
		append(encodeFrame(4, frameFull), encodeFrame(5, frameDelta, draining.encode())...),
	}
	listener := tcptest.Listen(t, tcptest.AnyLoopbackPort)
	updates := make(recorder, 10)
	startWatcher(t, options{
		addr: listener.Addr().String(), lastEvent: 3, zones: []string{"a", "b"}, kinds: []string{"std"}, sink: updates,
	})
	var starts []uint64
	for n, stream := range streams {
		conn, lastEvent := accept(t, listener)
		starts = append(starts, lastEvent)
		_, err := conn.Write(stream)
		discoverytest.Must(t, err)
		if n < len(streams)-1 {
			discoverytest.Must(t, conn.Close())
		}
	}
	got := []update{discoverytest.Receive(t, updates, "first event"), discoverytest.Receive(t, updates, "second event")}
	want := []update{
		{policy.UpdateFull, []lifecycle.Endpoint{{Address: "127.0.0.9:70", Engine: policy.Engine{
			ID: "s-00000007", Zone: "b", Kind: "std", Cell: 3, State: policy.EngineReady,
		}}}},
		{policy.UpdateDelta, []lifecycle.Endpoint{{Address: "127.0.0.9:80", Engine: policy.Engine{
			ID: "s-00000008", Zone: "b", Kind: "std", Cell: 3, State: policy.EngineDraining,
			StartedAt: 5 * time.Second, StartKnown: true,
		}}}},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff([]uint64{3, 4, 4}, starts); diff != "" {
		t.Error("numbers sent on connecting:", diff)
	}
}

// A bus that vanishes without closing is given up, and connected to anew.
func TestSilentBus(t *testing.T) {
	listener := tcptest.Listen(t, tcptest.AnyLoopbackPort)
	startWatcher(t, options{
		addr: listener.Addr().String(), sink: make(recorder, 1),
		configure: func(w *Watcher) { w.idleTimeout = 50 * time.Millisecond },
	})
	for range 2 { // both stay open
		accept(t, listener)
	}
}

// A protocol error ends the connection, and the log tells which it was.
func TestProtocolErrorsAreLogged(t *testing.T) {
	listener := tcptest.Listen(t, tcptest.AnyLoopbackPort)
	log := newDisconnects()
	startWatcher(t, options{addr: listener.Addr().String(), sink: make(recorder, 1), log: log})
	for _, test := range []struct {
		stream    []byte
		want      error
		wantEvent uint64 // of an error in an event's records; 0: none
	}{
		{[]byte{0, 0, 0, 8}, errFrameLength, 0},
		{encodeFrame(1, 3), errUnknownFrameKind, 0},
		{encodeFrame(2, frameFull, []byte("no record")), errPayloadLength, 2},
		{encodeFrame(3, frameDelta, record{state: 3}.encode()), errUnknownState, 3},
	} {
		conn, _ := accept(t, listener)
		_, err := conn.Write(test.stream)
		discoverytest.Must(t, err)
		got := discoverytest.Receive(t, log.reasons, "reason")
		if !errors.Is(got, test.want) {
			t.Errorf("%q: error %v, want %v", test.stream, got, test.want)
		}
		var eventErr *eventError
		if errors.As(got, &eventErr) != (test.wantEvent > 0) || eventErr != nil && eventErr.Event != test.wantEvent {
			t.Errorf("%q: error %v, want event %d", test.stream, got, test.wantEvent)
		}
	}
}

// A bus that was away for long is asked again well within the time that a drain leaves:
// its events count as received from its return on.
func TestBusReturns(t *testing.T) {
	// At an address of its own: a connection out could else take the port while it is free.
	listener, err := net.Listen("tcp", "127.0.0.77:0")
	discoverytest.Must(t, err)
	addr := listener.Addr().String()
	discoverytest.Must(t, listener.Close())
	log := newDisconnects()
	startWatcher(t, options{addr: addr, sink: make(recorder, 1), log: log})
	for range 8 { // just refused, and at the longest delay by now
		if err := discoverytest.Receive(t, log.reasons, "failed attempt"); !eventloop.IsConnectionRefused(err) {
			t.Fatalf("an attempt failed with %v, want a refused connection", err)
		}
	}
	returned := tcptest.Listen(t, addr)
	discoverytest.Must(t, returned.SetDeadline(time.Now().Add(500*time.Millisecond)))
	conn, err := returned.Accept()
	if err != nil {
		t.Fatalf("the bus is back and not connected to: %v", err)
	}
	discoverytest.Must(t, conn.Close())
}

// A frame that comes slowly, in pieces, is waited for: a connection that is given up over it
// would have to begin again, and never get further on a crowded bus.
func TestSlowBus(t *testing.T) {
	const idleTimeout, pieces = 200 * time.Millisecond, 12
	listener := tcptest.Listen(t, tcptest.AnyLoopbackPort)
	updates := make(recorder, 1)
	startWatcher(t, options{
		addr: listener.Addr().String(), zones: []string{"a"}, kinds: []string{"std"}, sink: updates,
		configure: func(w *Watcher) { w.idleTimeout = idleTimeout },
	})
	conn, _ := accept(t, listener)
	frame := encodeFrame(1, frameFull, record{id: 7, port: 70}.encode())
	for n := range pieces {
		_, err := conn.Write(frame[n*len(frame)/pieces : (n+1)*len(frame)/pieces])
		discoverytest.Must(t, err)
		time.Sleep(idleTimeout / 3)
	}
	discoverytest.Receive(t, updates, "the event")
}

// A frame that never ends does not hold the connection for good.
func TestEndlessFrame(t *testing.T) {
	const idleTimeout = 40 * time.Millisecond
	listener := tcptest.Listen(t, tcptest.AnyLoopbackPort)
	startWatcher(t, options{
		addr: listener.Addr().String(), sink: make(recorder, 1),
		configure: func(w *Watcher) { w.idleTimeout = idleTimeout },
	})
	conn, _ := accept(t, listener)
	go func() {
		_, _ = conn.Write([]byte{0, 1, 0, 0}) // 64 KB follow, by its length
		for {
			if _, err := conn.Write([]byte{0}); err != nil {
				return
			}
			time.Sleep(idleTimeout / 4)
		}
	}()
	accept(t, listener) // the next connection
}
