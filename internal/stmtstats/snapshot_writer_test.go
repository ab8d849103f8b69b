package stmtstats

import (
	"bytes"
	"log/slog"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"flaxrelay/internal/eventloop"
	"flaxrelay/internal/eventloop/eventlooptest"
	"flaxrelay/internal/metrics"
	"flaxrelay/policy"
)

// waitLimit limits the wait for the result of a write.
const waitLimit = 10 * time.Second

// testService is a service with the event loop that it runs on.
type testService struct {
	*Service
	loop     *eventloop.Loop
	counters *metrics.Counters
}

// newTestService returns a service with one class. Its event loop runs until the end of the test.
func newTestService(t *testing.T, settings Settings, log *slog.Logger) *testService {
	t.Helper()
	loop, err := eventloop.New()
	if err != nil {
		t.Fatal(err)
	}
	counters := metrics.New()
	service, err := NewService(settings, []policy.Class{{Name: "lookup"}}, loop, counters, log)
	if err != nil {
		t.Fatal(err)
	}
	eventlooptest.Run(t, loop)
	return &testService{Service: service, loop: loop, counters: counters}
}

// onLoop calls do in the goroutine of the event loop and waits until do returns.
func (s *testService) onLoop(do func()) { eventlooptest.Do(s.loop, do) }

// count returns the value of a counter.
func (s *testService) count(counter metrics.Counter) (value int64) {
	s.onLoop(func() { value = s.counters.Get(counter) })
	return value
}

// awaitCount waits until a counter is at least the given value.
func (s *testService) awaitCount(t *testing.T, counter metrics.Counter, atLeast int64) {
	t.Helper()
	for deadline := time.Now().Add(waitLimit); s.count(counter) < atLeast; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%s is %d after %v, want %d", counter.Name(), s.count(counter), waitLimit, atLeast)
		}
	}
}

// countingCache counts how often all shapes are read. A snapshot reads them once.
type countingCache struct {
	Cache
	reads int
}

// Each implements Cache.
func (c *countingCache) Each(yield func(Fingerprint, *CachedShape) bool) {
	c.reads++
	c.Cache.Each(yield)
}

// countReads replaces the cache of the service by one that counts how often it is read for a snapshot.
func (s *testService) countReads() *countingCache {
	cache := &countingCache{Cache: s.store.cache}
	s.onLoop(func() { s.store.cache = cache })
	return cache
}

// A written snapshot is counted. A failed write is counted and logged with the file and the error, and the
// next write is attempted as usual.
func TestSaveSnapshot_ReportsItsOutcome(t *testing.T) {
	dir := t.TempDir()
	missing := filepath.Join(dir, "missing", "shapes")
	failure := `level=WARN msg=shapes.snapshot-failed file=` + missing + ` error="snapshot: create temporary file: `
	for _, test := range []struct {
		name       string
		path       string
		counted    metrics.Counter
		notCounted metrics.Counter
		log        string // what each write logs
	}{
		{
			name: "written", path: filepath.Join(dir, "shapes"),
			counted: metrics.ShapesSnapshots, notCounted: metrics.ShapesSnapshotFailed,
		},
		{
			name: "failed", path: missing,
			counted: metrics.ShapesSnapshotFailed, notCounted: metrics.ShapesSnapshots,
			log: failure,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			var log bytes.Buffer
			settings := Settings{MaxBytes: testCacheBytes, SnapshotPath: test.path, SnapshotInterval: time.Hour}
			service := newTestService(t, settings, slog.New(slog.NewTextHandler(&log, nil)))
			for written := int64(1); written <= 2; written++ {
				service.onLoop(service.SaveSnapshot)
				service.awaitCount(t, test.counted, written)
			}
			if n := service.count(test.notCounted); n != 0 {
				t.Errorf("%s is %d, want 0", test.notCounted.Name(), n)
			}
			var text string
			service.onLoop(func() { text = log.String() })
			if test.log == "" && text != "" || test.log != "" && strings.Count(text, test.log) != 2 {
				t.Errorf("logged:\n%swant twice: %s", text, test.log)
			}
			if _, err := ReadSnapshot(test.path); (err == nil) != (test.name == "written") {
				t.Errorf("reading the snapshot: %v", err)
			}
		})
	}
}

// No snapshot is started before the result of the previous write is known.
func TestSaveSnapshot_WritesOneAtATime(t *testing.T) {
	path := filepath.Join(t.TempDir(), "shapes")
	settings := Settings{MaxBytes: testCacheBytes, SnapshotPath: path, SnapshotInterval: time.Hour}
	service := newTestService(t, settings, slog.New(slog.DiscardHandler))
	cache := service.countReads()
	service.onLoop(func() {
		service.SaveSnapshot()
		service.SaveSnapshot() // the result of the first write is handled after this function
	})
	service.awaitCount(t, metrics.ShapesSnapshots, 1)
	service.onLoop(func() {
		if cache.reads != 1 {
			t.Errorf("%d snapshots started, want 1", cache.reads)
		}
		service.SaveSnapshot()
	})
	service.awaitCount(t, metrics.ShapesSnapshots, 2)
}

// A snapshot is attempted at each interval without a call of SaveSnapshot, even after failures. The directory
// of the file does not exist, so that no write outlasts the test.
func TestNewService_TriesSnapshotAtEachInterval(t *testing.T) {
	path := filepath.Join(t.TempDir(), "missing", "shapes")
	settings := Settings{MaxBytes: testCacheBytes, SnapshotPath: path, SnapshotInterval: time.Millisecond}
	service := newTestService(t, settings, slog.New(slog.DiscardHandler))
	service.awaitCount(t, metrics.ShapesSnapshotFailed, 3)
}

// If the settings name no file, nothing is written.
func TestSaveSnapshot_DoesNothingWithoutFile(t *testing.T) {
	service := newTestService(t, Settings{MaxBytes: testCacheBytes}, slog.New(slog.DiscardHandler))
	cache := service.countReads()
	service.onLoop(func() {
		service.SaveSnapshot()
		if cache.reads != 0 {
			t.Errorf("%d snapshots started, want none", cache.reads)
		}
	})
}
