package consul

import (
	"context"
	"log/slog"
	"sync"
	"testing"

	"flaxrelay/internal/discovery"
	"flaxrelay/internal/metrics"
)

// startWatcher starts a watcher that runs until the end of the test. The watcher and the test run
// functions with post, one at a time, in place of the sink's goroutine.
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
