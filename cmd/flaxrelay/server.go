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

// server is one front end with its event loop, dispatcher and engine client. Once the
// loop runs, its goroutine owns every field; other goroutines go through loop.Post.
type server struct {
	loop       *eventloop.Loop
	dispatcher *lifecycle.Dispatcher
	frontEnd   frontEnd // nil where the deploy file turns the front end off
	counters   *metrics.Counters
	logger     *slog.Logger
	output     *logging.AsyncWriter // of the log and the counters; nil: none are printed
	shapes     *stmtstats.Service   // query shape statistics; nil where they are off
	reload     func() error         // applies the changed file; nil where nothing in it may change
	// reloadRetry reads the file again that could not be read; nil: none could not.
	reloadRetry *timerqueue.Timer
}

// frontEnd is what the composition and a graceful shutdown need of a protocol's server.
type frontEnd interface {
	Addr() string
	CloseListener()
	Drain()
	Finish()
	Idle() bool
}

// newServer returns a server without a loop, a dispatcher or a front end.
func newServer(logger *slog.Logger) *server {
	return &server{counters: metrics.New(), logger: logger}
}

// listen composes the server for the protocol that the files select and opens its listener.
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

// startCore makes the event loop and the dispatcher, which every protocol needs.
func (s *server) startCore(settings policy.Settings, seed uint64, limits resourceLimits) (err error) {
	limits.applyToRuntime()
	if s.loop, err = eventloop.New(); err != nil {
		return err
	}
	s.loop.BufferBudget = int64(limits.memoryFraction(loopBufferDivisor))
	s.dispatcher, err = lifecycle.NewDispatcher(settings, seed, s.loop, s.loop.Timers, s.counters, s.logger)
	if err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	return nil
}

// shapeLearning says how query shapes are learned.
type shapeLearning struct {
	shapes             *config.Shapes // nil: off
	classes            []policy.Class
	limits             resourceLimits
	enginesReportCosts bool // false: execution times stand for the work
}

// learnShapes starts the query shape statistics where the settings turn them on.
func (s *server) learnShapes(learning shapeLearning) (err error) {
	shapes := learning.shapes
	if shapes == nil || !shapes.Enabled {
		return nil
	}
	if limit := learning.limits.memoryFraction(shapeStatisticsDivisor) / bytesPerKB; shapes.MemoryKB > limit {
		return fmt.Errorf("shapes: memory_kb: %d is more than a quarter of the memory, %d", shapes.MemoryKB, limit)
	}
	s.shapes, err = stmtstats.NewService(stmtstats.Settings{
		CostModel:         shapes.CostModel(),
		MaxBytes:          shapes.MemoryKB * bytesPerKB,
		ApplyEstimates:    shapes.CorrectEstimates,
		SnapshotPath:      shapes.Snapshot,
		SnapshotInterval:  shapes.SnapshotInterval(),
		EnginesReportWork: learning.enginesReportCosts,
	}, learning.classes, s.loop, s.counters, s.logger)
	if err == nil {
		s.dispatcher.SetCostObserver(s.shapes)
	}
	return err
}
