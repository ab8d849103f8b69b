package consul

import (
	"context"
	"log/slog"
	"sync"
	"testing"

	"flaxrelay/internal/discovery"
	"flaxrelay/internal/metrics"
)

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
