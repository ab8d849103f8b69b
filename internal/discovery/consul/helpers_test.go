package consul

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"time"

	"flaxrelay/internal/discovery"
	"flaxrelay/internal/metrics"
	"flaxrelay/policy"
)

// patience bounds a wait for something that is expected to happen.
const patience = 10 * time.Second

var stateNames = map[policy.EngineState]string{
	policy.EngineReady: "ready", policy.EngineDraining: "draining", policy.EngineRemoved: "gone",
}

// startWatcher follows a service until the test's end. The returned function runs another
// as the sink's goroutine would, one at a time with the watcher's own.
func startWatcher(t *testing.T, opts Options, sink discovery.Sink) (post func(func()), counters *metrics.Counters) {
	t.Helper()
	var owner sync.Mutex
	post = func(f func()) {
		owner.Lock()
		defer owner.Unlock()
		f()
	}
	counters = metrics.New()
	w := New(post, sink, counters, slog.New(slog.DiscardHandler))
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	post(func() { w.Watch(ctx, opts) })
	return post, counters
}

// receive returns the channel's next value.
func receive[T any](t *testing.T, c <-chan T, what string) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(patience):
		t.Fatalf("%s: nothing came", what)
		panic("unreachable")
	}
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}
