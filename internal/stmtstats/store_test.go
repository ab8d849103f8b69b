package stmtstats

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"flaxrelay/internal/decision/costmodel"
)

// testCacheBytes is the cache size of most tests.
const testCacheBytes = 256 << 10

// twoClassOptions are the options of a store that distinguishes two classes.
func twoClassOptions() Options {
	classes := []costmodel.Class{{Name: "lookup", MaxWorkMillis: 800}, {Name: "report"}}
	return Options{CostModel: costmodel.Config{Classes: classes}, MaxBytes: testCacheBytes}
}

// newTestStore returns an empty store that distinguishes two classes.
func newTestStore(t *testing.T) *Store {
	t.Helper()
	store, err := New(twoClassOptions())
	if err != nil {
		t.Fatal(err)
	}
	return store
}

// estimate returns the estimate of one execution without binds or hints.
func estimate(s *Store, text string) costmodel.Estimate {
	return s.Estimate(s.Parse(text), nil, costmodel.NoClass, Hint{}).Estimate
}

// learn makes the store learn the given number of executions of a text. It then estimates one more execution,
// because the cache's policy counts each lookup.
func learn(s *Store, text string, executions int, work float64) {
	for range executions {
		execution := s.Estimate(s.Parse(text), nil, costmodel.NoClass, Hint{})
		s.Learn(execution, costmodel.Observation{WorkMillis: work, MemoryMB: 20})
	}
	estimate(s, text)
}

// Estimates survive a restart, although the fingerprints of the next process differ.
func TestSnapshot_KeepsEstimatesAcrossRestart(t *testing.T) {
	s := newTestStore(t)
	for i := range 30 {
		learn(s, fmt.Sprintf("SELECT c%d FROM stock_1.orders WHERE part = 'p'", i), 10, 100+float64(i)*50)
	}
	learn(s, "SELECT "+strings.Repeat("a_long_name, ", 200)+"b FROM stock_1.orders", 3, 100)
	dir := t.TempDir()
	path := filepath.Join(dir, "shapes")
	if err := s.Snapshot().Write(path); err != nil {
		t.Fatal(err)
	}
	snapshot, err := ReadSnapshot(path)
	if err != nil {
		t.Fatal(err)
	}
	if len(snapshot.Shapes) != 30 || snapshot.Truncated != 1 {
		t.Errorf("%d shapes and %d truncated, want 30 and 1", len(snapshot.Shapes), snapshot.Truncated)
	}
	restored, err := Restore(Options{MaxBytes: testCacheBytes}, snapshot)
	if err != nil {
		t.Fatal(err)
	}
	text := "select C7 from stock_9.orders where part = $1"
	before := estimate(s, text).WorkMillis
	after := estimate(restored, text).WorkMillis
	if before != after || before < 350 || before > 550 {
		t.Errorf("estimate of %.1f ms before the restart, %.1f ms after it", before, after)
	}
	files, err := os.ReadDir(dir)
	if err != nil || len(files) != 1 {
		t.Errorf("files after the write: %v, %v", files, err)
	}
}

// A snapshot that is truncated, has a changed byte, or has another version or format is rejected with the
// matching error.
func TestDecodeSnapshot_RejectsDamage(t *testing.T) {
	s := newTestStore(t)
	learn(s, "SELECT a FROM stock_1.parts WHERE part = 'p'", 5, 200)
	good, err := s.Snapshot().encode()
	if err != nil {
		t.Fatal(err)
	}
	for n := range good { // each length, and each changed byte
		_, err := decodeSnapshot(good[:n])
		if !errors.Is(err, ErrSnapshotTruncated) && !errors.Is(err, ErrSnapshotForeign) {
			t.Fatalf("truncated to %d bytes: %v", n, err)
		}
		bad := bytes.Clone(good)
		bad[n] ^= 0x40
		if _, err := decodeSnapshot(bad); err == nil {
			t.Fatalf("byte %d changed: no error", n)
		}
	}
	if _, err := decodeSnapshot(append(bytes.Clone(good), 0)); !errors.Is(err, ErrSnapshotDamaged) {
		t.Errorf("a byte after the end: %v", err)
	}
	otherVersion := bytes.Clone(good)
	otherVersion[len(snapshotMagic)+3] = 99
	if _, err := decodeSnapshot(otherVersion); !errors.Is(err, ErrSnapshotVersion) {
		t.Errorf("another version: %v", err)
	}
	snapshot := s.Snapshot()
	snapshot.Model = nil
	withoutModel, err := snapshot.encode()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := decodeSnapshot(withoutModel); !errors.Is(err, ErrSnapshotDamaged) {
		t.Errorf("without the state of the model: %v", err)
	}
}

// A flood of one-off shapes does not exceed the limit in bytes and does not evict recurring shapes.
func TestStore_KeepsRecurringShapesInFlood(t *testing.T) {
	s := newTestStore(t)
	recurring := func(i int) string { return fmt.Sprintf("SELECT c%d FROM stock_1.orders WHERE part = 'p'", i) }
	hits := uint64(0)
	lookups := 0
	for i := range 20000 {
		learn(s, fmt.Sprintf("SELECT a FROM stock_1.tmp_%dx t%dx WHERE part = 'p'", i, i), 1, 200)
		if i%4 == 0 {
			before := s.Stats.Hits
			execution := s.Estimate(s.Parse(recurring(i/4%50)), nil, costmodel.NoClass, Hint{})
			s.Learn(execution, costmodel.Observation{WorkMillis: 200})
			if i > 5000 {
				hits += s.Stats.Hits - before
				lookups++
			}
		}
	}
	if s.Bytes() > testCacheBytes {
		t.Errorf("%d bytes cached, %d allowed", s.Bytes(), testCacheBytes)
	}
	if rate := float64(hits) / float64(lookups); rate < 0.95 {
		t.Errorf("hit rate of recurring shapes: %.2f", rate)
	}
}

func FuzzSnapshot(f *testing.F) {
	s, err := New(Options{MaxBytes: minBytes})
	if err != nil {
		f.Fatal(err)
	}
	learn(s, "SELECT a FROM stock_1.parts", 2, 200)
	good, err := s.Snapshot().encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good)
	f.Add(good[:40])
	f.Fuzz(func(t *testing.T, encoded []byte) {
		snapshot, err := decodeSnapshot(encoded)
		if err != nil {
			return
		}
		_, err = Restore(Options{MaxBytes: minBytes}, snapshot)
		if err != nil && !errors.Is(err, ErrSnapshotDamaged) {
			t.Fatal(err)
		}
	})
}

// BenchmarkRequest measures the cost of one request: it is parsed, estimated and learned.
func BenchmarkRequest(b *testing.B) {
	store, err := New(Options{MaxBytes: 2 << 20})
	if err != nil {
		b.Fatal(err)
	}
	texts := make([]string, 200)
	for i := range texts {
		texts[i] = fmt.Sprintf("SELECT part, c%d FROM stock_%d.stock WHERE part = 'p-%05d'", i%40, i%30, i)
	}
	request := func(i int) {
		execution := store.Estimate(store.Parse(texts[i%200]), nil, costmodel.NoClass, Hint{WorkMillis: 50})
		store.Learn(execution, costmodel.Observation{WorkMillis: 100 + float64(i%7)})
	}
	for i := range 20000 {
		request(i)
	}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		i++
		request(i)
	}
}
