package eventbus

import (
	"errors"
	"net"
	"testing"
	"time"

	"flaxrelay/internal/discovery/discoverytest"
	"flaxrelay/internal/eventloop"
	"flaxrelay/internal/eventloop/eventlooptest"
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

// recorder is a sink that sends its notifications to a channel.
type recorder chan update

func (r recorder) UpdateEndpoints(mode policy.UpdateMode, engines []lifecycle.Endpoint) {
	r <- update{mode, engines}
}

// The bus closes the connection inside a frame and accepts the next connection. A repeated event is
// ignored, and a malformed frame only ends the connection.
func TestWatcher_ResumesAfterTheLastProcessedEvent(t *testing.T) {
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
	startWatcher(t, watcherSetup{
		options: Options{
			Address: listener.Addr().String(), LastEvent: 3, Zones: []string{"a", "b"}, Kinds: []string{"std"},
		},
		sink: updates,
	})
	var requested []uint64
	for i, stream := range streams {
		conn, lastEvent := accept(t, listener)
		requested = append(requested, lastEvent)
		_, err := conn.Write(stream)
		discoverytest.Must(t, err)
		if i < len(streams)-1 {
			discoverytest.Must(t, conn.Close())
		}
	}
	got := []update{
		discoverytest.Receive(t, updates, "first event"),
		discoverytest.Receive(t, updates, "second event"),
	}
	want := []update{
		{policy.UpdateFull, []lifecycle.Endpoint{{Address: "127.0.0.9:70", Engine: policy.Engine{
			ID: "s-00000007", Zone: "b", Kind: "std", Cell: 3, CellKnown: true, State: policy.EngineReady,
		}}}},
		{policy.UpdateDelta, []lifecycle.Endpoint{{Address: "127.0.0.9:80", Engine: policy.Engine{
			ID: "s-00000008", Zone: "b", Kind: "std", Cell: 3, CellKnown: true, State: policy.EngineDraining,
			StartedAt: 5 * time.Second, StartKnown: true,
		}}}},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff([]uint64{3, 4, 4}, requested); diff != "" {
		t.Error("last events of the connections:", diff)
	}
}

func TestWatcher_ReconnectsIfTheBusIsSilent(t *testing.T) {
	listener := tcptest.Listen(t, tcptest.AnyLoopbackPort)
	startWatcher(t, watcherSetup{
		options: Options{Address: listener.Addr().String()}, sink: make(recorder, 1),
		idleTimeout: 50 * time.Millisecond,
	})
	for range 2 { // the test closes neither connection
		accept(t, listener)
	}
}

// Guards against a connection that is closed as silent though bytes have arrived that are not handled yet.
func TestWatcher_HandlesWhatHasArrivedBeforeItsIdleTimeout(t *testing.T) {
	const idleTimeout = 200 * time.Millisecond
	listener := tcptest.Listen(t, tcptest.AnyLoopbackPort)
	log := newDisconnects()
	loop := startWatcher(t, watcherSetup{
		options: Options{Address: listener.Addr().String()}, sink: make(recorder, 1),
		idleTimeout: idleTimeout, log: log,
	})
	conn, _ := accept(t, listener)
	eventlooptest.Do(loop, func() {
		time.Sleep(2 * idleTimeout) // the idle timer is due, and runs after this function
		if _, err := conn.Write(encodeFrame(0, frameHeartbeat)); err != nil {
			t.Error(err)
		}
		for started := time.Now(); loop.BufferedBytes() == 0 && time.Since(started) < discoverytest.Timeout; {
			time.Sleep(time.Millisecond)
		}
	})
	eventlooptest.Do(loop, func() {})
	if len(log.reasons) > 0 {
		t.Errorf("disconnected: %v", <-log.reasons)
	}
}

func TestWatcher_LogsTheProtocolErrorThatEndedAConnection(t *testing.T) {
	listener := tcptest.Listen(t, tcptest.AnyLoopbackPort)
	log := newDisconnects()
	startWatcher(t, watcherSetup{
		options: Options{Address: listener.Addr().String()}, sink: make(recorder, 1), log: log,
	})
	for _, test := range []struct {
		stream    []byte
		want      error
		wantEvent uint64 // event whose records are invalid; 0: the error is not in a record
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

// The watcher reconnects well within the drain grace, even if the bus was unreachable for a long time,
// because the drain grace of an engine begins as soon as the bus can be reached again.
func TestWatcher_ReconnectsSoonAfterTheBusReturns(t *testing.T) {
	// Nothing else uses this address, so no outgoing connection can get the port while it is free.
	listener, err := net.Listen("tcp", "127.0.0.77:0")
	discoverytest.Must(t, err)
	addr := listener.Addr().String()
	discoverytest.Must(t, listener.Close())
	log := newDisconnects()
	startWatcher(t, watcherSetup{options: Options{Address: addr}, sink: make(recorder, 1), log: log})
	for range 8 { // enough attempts to reach the longest delay
		if err := discoverytest.Receive(t, log.reasons, "failed attempt"); !eventloop.IsConnectionRefused(err) {
			t.Fatalf("an attempt failed with %v, want a refused connection", err)
		}
	}
	returned := tcptest.Listen(t, addr)
	discoverytest.Must(t, returned.SetDeadline(time.Now().Add(500*time.Millisecond)))
	conn, err := returned.Accept()
	if err != nil {
		t.Fatalf("no connection after the bus returned: %v", err)
	}
	discoverytest.Must(t, conn.Close())
}

// The watcher waits for a frame that arrives slowly and in pieces. If the watcher closed the connection, a
// busy bus would have to send the frame from the start repeatedly.
func TestWatcher_WaitsForAFrameThatArrivesInPieces(t *testing.T) {
	const (
		idleTimeout = 200 * time.Millisecond
		pieces      = 12
	)
	listener := tcptest.Listen(t, tcptest.AnyLoopbackPort)
	updates := make(recorder, 1)
	startWatcher(t, watcherSetup{
		options: Options{Address: listener.Addr().String(), Zones: []string{"a"}, Kinds: []string{"std"}},
		sink:    updates, idleTimeout: idleTimeout,
	})
	conn, _ := accept(t, listener)
	frame := encodeFrame(1, frameFull, record{id: 7, port: 70}.encode())
	for i := range pieces {
		_, err := conn.Write(frame[i*len(frame)/pieces : (i+1)*len(frame)/pieces])
		discoverytest.Must(t, err)
		time.Sleep(idleTimeout / 3)
	}
	discoverytest.Receive(t, updates, "event")
}

func TestWatcher_ReconnectsIfAFrameNeverEnds(t *testing.T) {
	const idleTimeout = 40 * time.Millisecond
	listener := tcptest.Listen(t, tcptest.AnyLoopbackPort)
	startWatcher(t, watcherSetup{
		options: Options{Address: listener.Addr().String()}, sink: make(recorder, 1), idleTimeout: idleTimeout,
	})
	conn, _ := accept(t, listener)
	go func() {
		_, _ = conn.Write([]byte{0, 1, 0, 0}) // the length of the frame: 64 KB
		for {
			if _, err := conn.Write([]byte{0}); err != nil {
				return
			}
			time.Sleep(idleTimeout / 4)
		}
	}()
	accept(t, listener) // the next connection
}
