package stmtstats

import (
	"errors"
	"io/fs"
	"log/slog"
	"os"
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

// restore sets the store from the snapshot file, or leaves it nil where no usable one exists.
func (s *Service) restore(options Options) {
	path := s.settings.SnapshotPath
	removeLeftovers(path)
	store, err := restorePatiently(options, path)
	var unreadable *fs.PathError
	switch {
	case err == nil:
		s.store = store
		s.log.Info("shapes.restored", "file", path, "shapes", store.Len())
	case errors.Is(err, fs.ErrNotExist):
	case errors.As(err, &unreadable):
		s.counters.Increment("shapes.snapshot-unreadable")
		s.log.Warn("shapes.snapshot-unreadable", "file", path, "error", err)
	default:
		s.counters.Increment("shapes.snapshot-unusable")
		unusablePath := path + ".unusable"
		renameErr := os.Rename(path, unusablePath)
		s.log.Warn("shapes.snapshot-unusable", "file", path, "error", err, "renamed_to", unusablePath, "rename_error", renameErr)
	}
}

const (
	// readAttempts is how often a snapshot is read that can't be read.
	readAttempts = 5
	// readRetryDelay is the pause between two of these attempts.
	readRetryDelay = 20 * time.Millisecond
)

// restorePatiently restores from the file, and reads it again where it can't be read: disks
// fail for a moment.
func restorePatiently(options Options, path string) (store *Store, err error) {
	for range readAttempts {
		var unreadable *fs.PathError
		store, err = restoreFile(options, path)
		if !errors.As(err, &unreadable) || errors.Is(err, fs.ErrNotExist) {
			break
		}
		time.Sleep(readRetryDelay)
	}
	return store, err
}

func restoreFile(options Options, path string) (*Store, error) {
	snapshot, err := ReadSnapshot(path)
	if err != nil {
		return nil, err
	}
	return Restore(options, snapshot)
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
		s.counters.Increment("shapes.snapshot-failed")
		s.log.Warn("shapes.snapshot-failed", "file", s.settings.SnapshotPath, "error", err)
		return
	}
	s.counters.Increment("shapes.snapshots")
}

// PublishCounters publishes the service's figures among the counters.
func (s *Service) PublishCounters() {
	s.counters.Set("shapes.corrected", s.corrected)
	s.counters.Set("shapes.held", int64(s.store.Len()))
	s.counters.Set("shapes.bytes", int64(s.store.Bytes()))
	s.counters.Set("shapes.hits", int64(s.store.Stats.Hits))
	s.counters.Set("shapes.misses", int64(s.store.Stats.Misses))
	s.counters.Set("shapes.learned", int64(s.store.Stats.Learned))
}
