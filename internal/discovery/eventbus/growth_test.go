package eventbus

import (
	"log/slog"
	"testing"
	"time"

	"flaxrelay/internal/eventloop"
	"flaxrelay/internal/growthtest"
	"flaxrelay/internal/lifecycle"
	"flaxrelay/internal/metrics"
	"flaxrelay/policy"
)

// noEngineClient is a lifecycle.EngineClient without connections.
type noEngineClient struct{}

func (noEngineClient) Start(*lifecycle.Attempt)            {}
func (noEngineClient) Abandon(*lifecycle.Attempt)          {}
func (noEngineClient) Withdraw(*lifecycle.Attempt) bool    { return false }
func (noEngineClient) SetPriority(*lifecycle.Attempt, int) {}
func (noEngineClient) UpdateEndpoint(lifecycle.Endpoint)   {}

// newGrowthWatcher returns a watcher that notifies a dispatcher. Its event loop does not run.
func newGrowthWatcher(t *testing.T) *Watcher {
	t.Helper()
	loop, err := eventloop.New()
	if err != nil {
		t.Fatal(err)
	}
	log := slog.New(slog.DiscardHandler)
	counters := metrics.New()
	class := policy.Class{
		Name: "lookup", LatencyObjective: time.Second, Deadline: time.Second, PriorityWeight: 1, Threads: 1,
	}
	settings := policy.Settings{
		Replicas: 1, Kinds: []policy.Kind{{Name: "k", Cores: 4}}, TimerGranularity: time.Millisecond,
		Classes: []policy.Class{class},
	}
	dispatcher, err := lifecycle.NewDispatcher(settings, 1, loop, loop.Timers, counters, log)
	if err != nil {
		t.Fatal(err)
	}
	dispatcher.SetEngineClient(noEngineClient{})
	return New(loop, dispatcher, Options{Kinds: []string{"k"}}, counters, log)
}

// handleAll passes frames that were received together to the watcher.
func handleAll(t *testing.T, watcher *Watcher, input []byte) {
	t.Helper()
	for len(input) > 0 {
		received, err := parseFrame(input)
		if err != nil {
			t.Fatal(err)
		}
		if err := watcher.handleFrame(received); err != nil {
			t.Fatal(err)
		}
		input = input[received.size():]
	}
	watcher.notifyOfChanges()
}

// Guards against an event bus that stops the front end by many small changes: the limits of the whole fleet were
// computed again for each of them.
func TestWatcher_ChangesTakeLinearTime(t *testing.T) {
	const engines = 1600
	for name, framesOf := range map[string]func(engines int) []byte{
		"one list": func(engines int) []byte {
			var records [][]byte
			for id := range engines {
				records = append(records, record{id: uint32(id)}.encode())
			}
			return encodeFrame(1, frameFull, records...)
		},
		"one change for each engine": func(engines int) (frames []byte) {
			for id := range engines {
				frames = append(frames, encodeFrame(uint64(id+1), frameDelta, record{id: uint32(id)}.encode())...)
			}
			return frames
		},
		"many changes of one engine": func(changes int) (frames []byte) {
			for event := range changes {
				frames = append(frames, encodeFrame(uint64(event+1), frameDelta, record{id: 1}.encode())...)
			}
			return frames
		},
		"many empty frames": func(frames int) (input []byte) {
			for event := range frames {
				input = append(input, encodeFrame(uint64(event+1), frameDelta)...)
			}
			return input
		},
	} {
		t.Run(name, func(t *testing.T) {
			growthtest.CheckLinear(t, engines, func(engines int) func() {
				watcher := newGrowthWatcher(t)
				input := framesOf(engines)
				return func() { handleAll(t, watcher, input) }
			})
		})
	}
}
