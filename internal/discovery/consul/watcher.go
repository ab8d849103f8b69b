// Package consul follows a service in Consul with blocking queries to its catalog and its health
// API, and notifies a sink of the engines that are ready, draining or removed. New returns a Watcher;
// Watch starts to follow a service, and may be called again to follow another service.
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
	// minQueryInterval is the minimum time between the starts of two successful queries. It limits
	// the load on the agent if its index changes all the time.
	minQueryInterval = 20 * time.Millisecond
)

const (
	catalogPath = "/v1/catalog/service/"
	healthPath  = "/v1/health/service/"
)

// Options name the service to watch, and set defaults for the zone and the kind of engines.
// They come from the deploy file.
type Options struct {
	Address string // host:port of the HTTP API
	Service string
	Token   string // ACL token; "": none
	Zone    string // zone of engines whose metadata has none
	Kind    string // kind of engines whose metadata has none
}

// Watcher follows one service. The catalog lists the registered engines and their addresses; the
// health API lists their health checks. The sink's goroutine owns the state of a Watcher. The queries of
// each API run on a separate goroutine, which posts the results to the sink's goroutine.
type Watcher struct {
	post     func(func()) // runs a function on the sink's goroutine
	sink     discovery.Sink
	counters *metrics.Counters // owned by the sink's goroutine
	log      *slog.Logger
	client   *client

	opts          Options
	cancelQueries context.CancelFunc            // ends the queries of the latest call of Watch
	registered    []registration                // nil until received
	health        map[string]policy.EngineState // by id of the engine; nil until received
	notified      map[string]lifecycle.Endpoint // the engines that the sink was notified of, by id
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

// Watch follows the service in the options until the context is done or Watch is called again.
// The sink keeps the engines of the previous service until both lists of the new service are
// received. Watch must be called on the sink's goroutine and does not block.
func (w *Watcher) Watch(ctx context.Context, opts Options) {
	w.cancelQueries()
	ctx, w.cancelQueries = context.WithCancel(ctx)
	w.client.closeIdleConnections()
	w.opts = opts
	w.registered = nil
	w.health = nil
	go poll(ctx, w, opts, catalogPath, func(list []registration) {
		w.registered = append([]registration{}, list...) // not nil, even if the list is empty
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

// poll makes blocking queries on one path until the context is done. It posts each changed result to
// the handler, which runs on the sink's goroutine.
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
			w.reportFailure(opts.Address, path, err, delay)
			sleep(ctx, delay)
			index = 0 // the next query returns at once, with all changes since the failure
			continue
		}
		backoff.Reset()
		if received != index {
			w.post(func() {
				if ctx.Err() == nil { // otherwise Watch was called again before this function ran
					handle(list)
				}
			})
		}
		index = nextIndex(index, received)
		if pause := minQueryInterval - time.Since(startedAt); pause > 0 {
			sleep(ctx, pause)
		}
	}
}

// reportFailure counts and logs a failed query. It runs on the goroutine of the query.
func (w *Watcher) reportFailure(address, path string, err error, retryIn time.Duration) {
	w.post(func() { w.counters.Increment(metrics.ConsulErrors) })
	logevent.ConsulRequestFailed.Log(w.log, slog.String("consul", address), slog.String("path", path),
		slog.Any("error", err), slog.Duration("retry_in", retryIn))
}

// nextIndex returns the index for the next query. index is that of the previous query, and received is
// that of its response. nextIndex returns 0 if the index went back. This happens when Consul's servers are
// restored from a backup or replaced.
func nextIndex(index, received uint64) uint64 {
	if received < index {
		return 0
	}
	return max(received, 1) // Consul does not block on an index of 0
}

// sleep blocks for the duration or until the context is done.
func sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}
