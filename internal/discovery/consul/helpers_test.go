package consul

import (
	"context"
	"log/slog"
	"sync"
	"testing"

	"flaxrelay/internal/discovery"
	"flaxrelay/internal/metrics"
)

// startWatcher starts a watcher that runs until the end of the test. post replaces the sink's goroutine:
// it runs the functions of the watcher and of the test one at a time.
func startWatcher(t *testing.T, opts Options, sink discovery.Sink) (post func(func()), counters *metrics.Counters) {
	t.Helper()
	var owner sync.Mutex
	post = func(function func()) {
		owner.Lock()
		defer owner.Unlock()
		function()
	}
	counters = metrics.New()
	w := New(post, sink, counters, slog.New(slog.DiscardHandler))
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	post(func() { w.Watch(ctx, opts) })
	return post, counters
}
