package stmtstats

import (
	"log/slog"
	"time"

	"flaxrelay/internal/decision/costmodel"
	"flaxrelay/internal/eventloop"
	"flaxrelay/internal/metrics"
	"flaxrelay/policy"
)

// Settings configures a Service.
type Settings struct {
	CostModel         costmodel.Config
	MaxBytes          int           // limit of the cache's size
	ApplyEstimates    bool          // decisions use the store's estimates in place of the clients'
	SnapshotPath      string        // path of the snapshot file; "": none
	SnapshotInterval  time.Duration // time between snapshots
	EnginesReportWork bool          // engines report the work of a request; else its duration counts as its work
}

// Service connects a Store to a running front end: the servers of the client protocols get estimates from it when a
// request arrives, and the lifecycle.Dispatcher reports the costs of served requests. All its methods must be called
// from the goroutine of the event loop.
type Service struct {
	store     *Store
	settings  Settings
	classes   classTable
	snapshots *snapshotWriter // nil if the settings name no file

	counters *metrics.Counters
	log      *slog.Logger

	corrected  int64 // number of requests for which the client's estimate was replaced
	executions executionPool
}

// NewService returns a service that continues from the snapshot, if there is one. If the snapshot file can't be
// read, it is left as it is. If its contents can't be used, it is renamed to FILE.unusable. Both cases are logged,
// and the service starts without statistics.
func NewService(
	settings Settings, classes []policy.Class, loop *eventloop.Loop, counters *metrics.Counters, log *slog.Logger,
) (*Service, error) {
	service := &Service{
		settings: settings,
		classes:  newClassTable(classes, settings.CostModel.Classes),
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
		service.snapshots = &snapshotWriter{
			store: service.store, path: settings.SnapshotPath, interval: settings.SnapshotInterval,
			loop: loop, counters: counters, log: log,
		}
		service.snapshots.schedule()
	}
	return service, nil
}

// SaveSnapshot starts writing a snapshot in the background, if the settings name a file and no
// snapshot is being written.
func (s *Service) SaveSnapshot() {
	if s.snapshots != nil {
		s.snapshots.save()
	}
}

// PublishCounters sets the counters to the current statistics of the store.
func (s *Service) PublishCounters() {
	s.counters.Set(metrics.ShapesCorrected, s.corrected)
	s.counters.Set(metrics.ShapesCached, int64(s.store.Len()))
	s.counters.Set(metrics.ShapesBytes, int64(s.store.Bytes()))
	s.counters.Set(metrics.ShapesHits, int64(s.store.Stats.Hits))
	s.counters.Set(metrics.ShapesMisses, int64(s.store.Stats.Misses))
	s.counters.Set(metrics.ShapesLearned, int64(s.store.Stats.Learned))
}
