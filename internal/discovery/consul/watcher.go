// Package consul follows a service in Consul by blocking queries to its catalogue and
// its health API, and notifies a sink of the engines that are ready, draining or removed.
package consul

import (
	"context"
	"log/slog"
	"time"

	"flaxrelay/internal/discovery"
	"flaxrelay/internal/lifecycle"
	"flaxrelay/internal/logevent"
	"flaxrelay/internal/metrics"
	"flaxrelay/policy"
)

const (
	initialBackoff = 100 * time.Millisecond
	maxBackoff     = 5 * time.Second
	// minQueryInterval is the least time between the starts of two queries that succeed.
	// It protects the agent against an index that changes without pause.
	minQueryInterval = 20 * time.Millisecond
)

const (
	catalogPath = "/v1/catalog/service/"
	healthPath  = "/v1/health/service/"
)

// Options name the service and what its engines lack. They come from the deploy file.
type Options struct {
	Address string // host:port of the HTTP API
	Service string
	Token   string // ACL token; "": none
	Zone    string // of engines whose metadata name none
	Kind    string // of engines whose metadata name none
}

// Watcher follows one service: the catalogue lists which engines are registered and
// where, the health API whether they accept requests. Its state belongs to the sink's
// goroutine; the queries run on two goroutines of their own, whose results are posted.
type Watcher struct {
	post     func(func()) // runs a function on the sink's goroutine
	sink     discovery.Sink
	counters *metrics.Counters // of the sink's goroutine
	log      *slog.Logger
	client   *client

	opts          Options
	cancelQueries context.CancelFunc            // ends the queries of the latest Watch
	registered    []registration                // nil until received
	health        map[string]policy.EngineState // by the engine's id; nil until received
	notified      map[string]lifecycle.Endpoint // what the sink was last notified of, by id
}

// New returns a watcher that notifies the sink through post.
func New(post func(func()), sink discovery.Sink, counters *metrics.Counters, log *slog.Logger) *Watcher {
	return &Watcher{
		post:          post,
		sink:          sink,
		counters:      counters,
		log:           log,
		client:        newClient(),
		cancelQueries: func() {},
		notified:      map[string]lifecycle.Endpoint{},
	}
}

// Watch follows the service that the options name, until the context ends or Watch is
// called again. The engines known so far stay until both new lists are here; those that
// the new lists lack are removed then. Watch is for the sink's goroutine and does not block.
func (w *Watcher) Watch(ctx context.Context, opts Options) {
	w.cancelQueries()
	ctx, w.cancelQueries = context.WithCancel(ctx)
	w.client.closeIdleConnections()
	w.opts, w.registered, w.health = opts, nil, nil
	go poll(ctx, w, opts, catalogPath, func(list []registration) {
		w.registered = append([]registration{}, list...) // an empty list is not nil
		w.reconcile()
	})
	go poll(ctx, w, opts, healthPath, func(list []healthEntry) {
		w.health = map[string]policy.EngineState{}
		for _, entry := range list {
			w.health[entry.engineID()] = entry.state()
		}
		w.reconcile()
	})
}

// poll makes blocking queries on one path until the context ends, and has each changed
// result handled on the sink's goroutine.
func poll[T any](ctx context.Context, w *Watcher, opts Options, path string, handle func([]T)) {
	backoff := discovery.Backoff{Initial: initialBackoff, Max: maxBackoff}
	index := uint64(0)
	for ctx.Err() == nil {
		startedAt := time.Now()
		var list []T
		received, err := w.client.query(ctx, opts, path, index, &list)
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			delay := backoff.Next()
			w.post(func() { w.counters.Increment(metrics.ConsulErrors) })
			logevent.ConsulRequestFailed.Log(w.log, slog.String("consul", opts.Address), slog.String("path", path),
				slog.Any("error", err), slog.Duration("retry_in", delay))
			sleep(ctx, delay)
			index = 0 // the next query returns at once what changed meanwhile
			continue
		}
		backoff.Reset()
		if received != index {
			w.post(func() {
				if ctx.Err() == nil { // else Watch has been called again meanwhile
					handle(list)
				}
			})
		}
		index = nextIndex(index, received)
		if rest := minQueryInterval - time.Since(startedAt); rest > 0 {
			sleep(ctx, rest)
		}
	}
}

// nextIndex returns the index for the query after one that was sent with index and
// received another. It starts again at 0 where the index went back, as it does when
// Consul's servers were restored or replaced.
func nextIndex(index, received uint64) uint64 {
	if received < index {
		return 0
	}
	return max(received, 1) // Consul does not block on an index of 0
}

// sleep waits for the duration or the end of the context.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
