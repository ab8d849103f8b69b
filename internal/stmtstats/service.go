package stmtstats

import (
	"log/slog"
	"time"

	"flaxrelay/internal/decision/costmodel"
	"flaxrelay/internal/eventloop"
	"flaxrelay/internal/logevent"
	"flaxrelay/internal/metrics"
	"flaxrelay/policy"
)

// Settings are the settings of a Service in a deploy file.
type Settings struct {
	CostModel         costmodel.Config
	MaxBytes          int           // upper bound of the cache's size
	ApplyEstimates    bool          // estimates replace the clients' hints in the decisions
	SnapshotPath      string        // path of the snapshot file; "": none
	SnapshotInterval  time.Duration // between snapshots
	EnginesReportWork bool          // engines report the work of a request; else its duration counts as its work
}

// Service connects a Store to a running proxy: the front ends get estimates from it when a
// request arrives, and the lifecycle.Dispatcher reports what served requests have cost. All its
// methods must be called from the goroutine of the event loop.
type Service struct {
	store    *Store
	settings Settings
	classes  classTable

	loop     *eventloop.Loop
	counters *metrics.Counters
	log      *slog.Logger

	savingSnapshot bool  // a goroutine is writing a snapshot
	corrected      int64 // number of requests whose hints were replaced
	executions     executionPool
}

// NewService returns a service that continues from the snapshot, if there is one. A
// snapshot that can't be used is logged and renamed to FILE.unusable.
func NewService(
	settings Settings, classes []policy.Class, loop *eventloop.Loop, counters *metrics.Counters, log *slog.Logger,
) (*Service, error) {
	service := &Service{
		settings: settings,
		classes:  newClassTable(classes, settings.CostModel.Classes),
		loop:     loop,
		counters: counters,
		log:      log,
	}
	options := Options{CostModel: settings.CostModel, MaxBytes: settings.MaxBytes}
	if settings.SnapshotPath != "" {
		service.restore(options)
	}
	if service.store == nil {
		store, err := New(options)
		if err != nil {
			return nil, err
		}
		service.store = store
	}
	if settings.SnapshotPath != "" {
		service.scheduleSnapshot()
	}
	return service, nil
}

// scheduleSnapshot schedules the next snapshot and all that follow.
func (s *Service) scheduleSnapshot() {
	s.loop.Timers.Schedule(s.loop.Now()+s.settings.SnapshotInterval, func() {
		s.SaveSnapshot()
		s.scheduleSnapshot()
	})
}

// SaveSnapshot writes a snapshot in the background, if the settings name a file. Only one is
// written at a time, so that a disk that hangs blocks one goroutine at most.
func (s *Service) SaveSnapshot() {
	if s.settings.SnapshotPath == "" || s.savingSnapshot {
		return
	}
	s.savingSnapshot = true
	snapshot := s.store.Snapshot()
	go func() {
		err := snapshot.Write(s.settings.SnapshotPath)
		s.loop.Post(func() { s.snapshotWritten(err) })
	}()
}

// snapshotWritten handles the result of a write.
func (s *Service) snapshotWritten(err error) {
	s.savingSnapshot = false
	if err != nil {
		s.counters.Increment(metrics.ShapesSnapshotFailed)
		file := slog.String("file", s.settings.SnapshotPath)
		logevent.ShapesSnapshotFailed.Log(s.log, file, slog.Any("error", err))
		return
	}
	s.counters.Increment(metrics.ShapesSnapshots)
}

// PublishCounters sets the counters of the store's figures.
func (s *Service) PublishCounters() {
	s.counters.Set(metrics.ShapesCorrected, s.corrected)
	s.counters.Set(metrics.ShapesHeld, int64(s.store.Len()))
	s.counters.Set(metrics.ShapesBytes, int64(s.store.Bytes()))
	s.counters.Set(metrics.ShapesHits, int64(s.store.Stats.Hits))
	s.counters.Set(metrics.ShapesMisses, int64(s.store.Stats.Misses))
	s.counters.Set(metrics.ShapesLearned, int64(s.store.Stats.Learned))
}
