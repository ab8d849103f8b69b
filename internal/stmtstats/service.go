package stmtstats

import (
	"log/slog"
	"time"

	"flaxrelay/internal/decision/costmodel"
	"flaxrelay/internal/eventloop"
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
// request arrives, and the lifecycle.Dispatcher reports what served requests have cost. It
// belongs to the goroutine of the event loop.
type Service struct {
	store    *Store
	settings Settings

	classIndex      map[string]int     // of the policy's classes, by name
	classThreads    map[string]float64 // that a request of the class uses, at least 1
	readOnlyClasses []policy.Class     // the classes of the cost model, in its order

	loop           *eventloop.Loop
	counters       *metrics.Counters
	log            *slog.Logger
	savingSnapshot bool

	corrected      int64 // requests whose hints were replaced
	freeExecutions []*Execution
}

// NewService returns a service that continues from the snapshot, if there is one. A
// snapshot that can't be used is logged and renamed to FILE.unusable.
func NewService(
	settings Settings, classes []policy.Class, loop *eventloop.Loop, counters *metrics.Counters, log *slog.Logger,
) (*Service, error) {
	s := &Service{
		settings:     settings,
		classIndex:   map[string]int{},
		classThreads: map[string]float64{},
		loop:         loop,
		counters:     counters,
		log:          log,
	}
	s.indexClasses(classes)
	options := Options{CostModel: settings.CostModel, MaxBytes: settings.MaxBytes}
	if settings.SnapshotPath != "" {
		s.restore(options)
	}
	if s.store == nil {
		var err error
		if s.store, err = New(options); err != nil {
			return nil, err
		}
	}
	if settings.SnapshotPath != "" {
		s.scheduleSnapshot()
	}
	return s, nil
}

func (s *Service) indexClasses(classes []policy.Class) {
	for i, class := range classes {
		s.classIndex[class.Name] = i
		s.classThreads[class.Name] = max(class.Threads, 1)
	}
	for _, class := range s.settings.CostModel.Classes {
		s.readOnlyClasses = append(s.readOnlyClasses, classes[s.classIndex[class.Name]])
	}
}

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

func (s *Service) snapshotWritten(err error) {
	s.savingSnapshot = false
	if err != nil {
		s.counters.IncrementByName("shapes.snapshot-failed")
		s.log.Warn("shapes.snapshot-failed", "file", s.settings.SnapshotPath, "error", err)
		return
	}
	s.counters.IncrementByName("shapes.snapshots")
}

// PublishCounters publishes the service's figures among the counters.
func (s *Service) PublishCounters() {
	s.counters.SetByName("shapes.corrected", s.corrected)
	s.counters.SetByName("shapes.held", int64(s.store.Len()))
	s.counters.SetByName("shapes.bytes", int64(s.store.Bytes()))
	s.counters.SetByName("shapes.hits", int64(s.store.Stats.Hits))
	s.counters.SetByName("shapes.misses", int64(s.store.Stats.Misses))
	s.counters.SetByName("shapes.learned", int64(s.store.Stats.Learned))
}
