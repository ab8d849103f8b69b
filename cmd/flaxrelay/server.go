package main

import (
	"context"
	"fmt"
	"log/slog"

	"flaxrelay/internal/config"
	"flaxrelay/internal/eventloop"
	"flaxrelay/internal/lifecycle"
	"flaxrelay/internal/logging"
	"flaxrelay/internal/metrics"
	"flaxrelay/internal/stmtstats"
	"flaxrelay/internal/timerqueue"
	"flaxrelay/policy"
)

// server is one front end with its event loop, dispatcher and engine client. listen sets it up, and serve
// runs its loop. While the loop runs, its goroutine owns all fields; other goroutines use loop.Post.
type server struct {
	loop       *eventloop.Loop
	dispatcher *lifecycle.Dispatcher
	frontEnd   frontEnd // nil if the deploy file turns the front end off
	counters   *metrics.Counters
	logger     *slog.Logger
	output     *logging.AsyncWriter // output of the log and the counters; nil: counters are not printed
	statistics *stmtstats.Service   // statement statistics; nil if they are off
	reload     func() error         // applies the changed file; nil if no part of it can be reloaded
	// reloadRetry retries a reload whose file could not be read; nil if no such reload has occurred.
	reloadRetry *timerqueue.Timer
}

// frontEnd is the server of a client protocol. All methods but Addr must be called on the event loop's
// goroutine.
type frontEnd interface {
	// Addr returns the address of the listener.
	Addr() string
	// CloseListener stops accepting connections.
	CloseListener()
	// Drain closes each connection as soon as it has no request in flight. The HTTP front end also waits
	// for requests that have arrived only in part and for results whose pages are being fetched. Drain is
	// called some time after the start of a graceful shutdown.
	Drain()
	// Finish closes the connections that are still open, each as soon as its responses have been sent. It
	// must be called after Dispatcher.CompleteAll.
	Finish()
	// Idle reports whether no client is connected and all buffered results have been fetched.
	Idle() bool
}

// newServer returns a server without a loop, a dispatcher or a front end.
func newServer(logger *slog.Logger) *server {
	return &server{counters: metrics.New(), logger: logger}
}

// listen sets up the server for the protocol that the files select. It also opens the listener.
func (s *server) listen(ctx context.Context, files serveFiles) error {
	switch {
	case files.postgres != "":
		return s.listenPostgres(ctx, files.postgres)
	case files.config != "":
		return s.listenHTTP(files.config, files.shapes)
	default:
		return errNothingToServe
	}
}

// startCore creates the event loop and the dispatcher, which all protocols need.
func (s *server) startCore(settings policy.Settings, seed uint64, limits resourceLimits) error {
	limits.applyToRuntime()
	loop, err := eventloop.New()
	if err != nil {
		return err
	}
	loop.SetReadBudgets(limits.clientReadBudget(), limits.dialedReadBudget())
	s.loop = loop
	s.dispatcher, err = lifecycle.NewDispatcher(settings, seed, loop, loop.Timers, s.counters, s.logger)
	if err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	return nil
}

// statisticsOptions configures statement statistics.
type statisticsOptions struct {
	shapes            *config.Shapes // nil: off
	classes           []policy.Class
	limits            resourceLimits
	enginesReportWork bool // false: the execution time is taken as the work
}

// startStatistics starts statement statistics if the settings turn them on.
func (s *server) startStatistics(options statisticsOptions) error {
	shapes := options.shapes
	if shapes == nil || !shapes.Enabled {
		return nil
	}
	if limit := options.limits.memoryFraction(shapeStatisticsDivisor) / bytesPerKB; shapes.MemoryKB > limit {
		return fmt.Errorf("shapes: memory_kb: %d is above %d, a quarter of the memory limit", shapes.MemoryKB, limit)
	}
	service, err := stmtstats.NewService(stmtstats.Settings{
		CostModel:         shapes.CostModel(),
		MaxBytes:          shapes.MemoryKB * bytesPerKB,
		ApplyEstimates:    shapes.CorrectEstimates,
		SnapshotPath:      shapes.Snapshot,
		SnapshotInterval:  shapes.SnapshotInterval(),
		EnginesReportWork: options.enginesReportWork,
	}, options.classes, s.loop, s.counters, s.logger)
	if err != nil {
		return err
	}
	s.statistics = service
	s.dispatcher.SetCostObserver(service)
	return nil
}
