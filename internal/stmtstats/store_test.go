package stmtstats

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"flaxrelay/internal/decision/costmodel"
)

// newTestStore returns an empty store that tells two classes apart.
func newTestStore(t *testing.T) *Store {
	t.Helper()
	s, err := New(Options{CostModel: costmodel.Config{Classes: []costmodel.Class{{Name: "lookup", MaxWorkMillis: 800}, {Name: "report"}}}, MaxBytes: 256 << 10})
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// estimate returns the estimate of one execution without binds or hints.
func estimate(s *Store, text string) costmodel.Estimate {
	return s.Estimate(s.Parse(text), nil, costmodel.NoClass, Hint{}).Estimate
}

// learn has the store learn the given number of executions of a text, and estimates one
// more: a lookup that is not learned from also presses on the cache.
func learn(s *Store, text string, executions int, work float64) {
	for range executions {
		s.Learn(s.Estimate(s.Parse(text), nil, costmodel.NoClass, Hint{}), costmodel.Observation{WorkMillis: work, MemoryMB: 20})
	}
	estimate(s, text)
}

// Estimates survive a restart, although the fingerprints of the next process differ.
func TestSnapshotSurvivesRestart(t *testing.T) {
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
	snap, err := ReadSnapshot(path)
	if err != nil {
		t.Fatal(err)
	}
	if len(snap.Shapes) != 30 || snap.Truncated != 1 {
		t.Errorf("%d shapes and %d cut, want 30 and 1", len(snap.Shapes), snap.Truncated)
	}
	restored, err := Restore(Options{MaxBytes: 256 << 10}, snap)
	if err != nil {
		t.Fatal(err)
	}
	text := "select C7 from stock_9.orders where part = $1"
	was, is := estimate(s, text).WorkMillis, estimate(restored, text).WorkMillis
	if was != is || was < 350 || was > 550 {
		t.Errorf("%.1f ms expected before, %.1f after", was, is)
	}
	left, err := os.ReadDir(dir)
	if err != nil || len(left) != 1 {
		t.Errorf("files left: %v, %v", left, err)
	}
}

// A snapshot that is truncated, changed in any byte, of another version or no snapshot at
// all is rejected with an error that says so.
func TestDecodeSnapshotRejectsDamage(t *testing.T) {
	s := newTestStore(t)
	learn(s, "SELECT a FROM stock_1.parts WHERE part = 'p'", 5, 200)
	good, err := s.Snapshot().Encode()
	if err != nil {
		t.Fatal(err)
	}
	for n := range good { // each cut, and each changed byte
		if _, err := DecodeSnapshot(good[:n]); !errors.Is(err, ErrSnapshotTruncated) && !errors.Is(err, ErrSnapshotForeign) {
			t.Fatalf("cut at %d: %v", n, err)
		}
		bad := append([]byte{}, good...)
		bad[n] ^= 0x40
		if _, err := DecodeSnapshot(bad); err == nil {
			t.Fatalf("byte %d changed: it was read", n)
		}
	}
	if _, err := DecodeSnapshot(append(append([]byte{}, good...), 0)); !errors.Is(err, ErrSnapshotDamaged) {
		t.Errorf("a byte behind the end: %v", err)
	}
	other := append([]byte{}, good...)
	other[len(snapshotMagic)+3] = 99
	if _, err := DecodeSnapshot(other); !errors.Is(err, ErrSnapshotVersion) {
		t.Errorf("another version: %v", err)
	}
}

// A flood of one-off shapes neither exceeds the bound of bytes nor evicts those that recur.
func TestOneOffShapesDoNotEvictRecurring(t *testing.T) {
	s := newTestStore(t)
	recurring := func(i int) string { return fmt.Sprintf("SELECT c%d FROM stock_1.orders WHERE part = 'p'", i) }
	hits, lookups := uint64(0), 0
	for i := range 20000 {
		learn(s, fmt.Sprintf("SELECT a FROM stock_1.tmp_%dx t%dx WHERE part = 'p'", i, i), 1, 200)
		if i%4 == 0 {
			before := s.Stats.Hits
			s.Learn(s.Estimate(s.Parse(recurring(i/4%50)), nil, costmodel.NoClass, Hint{}), costmodel.Observation{WorkMillis: 200})
			if i > 5000 {
				hits += s.Stats.Hits - before
				lookups++
			}
		}
	}
	if s.Bytes() > 256<<10 {
		t.Errorf("%d bytes held, %d allowed", s.Bytes(), 256<<10)
	}
	if rate := float64(hits) / float64(lookups); rate < 0.95 {
		t.Errorf("hit rate of recurring shapes: %.2f", rate)
	}
}

func FuzzSnapshot(f *testing.F) {
	s, err := New(Options{MaxBytes: 64 << 10})
	if err != nil {
		f.Fatal(err)
	}
	learn(s, "SELECT a FROM stock_1.parts", 2, 200)
	good, err := s.Snapshot().Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good)
	f.Add(good[:40])
	f.Fuzz(func(t *testing.T, raw []byte) {
		if snap, err := DecodeSnapshot(raw); err == nil {
			if _, err := Restore(Options{MaxBytes: 64 << 10}, snap); err != nil && !errors.Is(err, ErrSnapshotDamaged) {
				t.Fatal(err)
			}
		}
	})
}

// BenchmarkRequest measures what one request costs in all: parsed, estimated and learned.
func BenchmarkRequest(b *testing.B) {
	store, err := New(Options{MaxBytes: 2 << 20})
	if err != nil {
		b.Fatal(err)
	}
	texts := make([]string, 200)
	for i := range texts {
		texts[i] = fmt.Sprintf("SELECT part, c%d FROM stock_%d.stock WHERE part = 'p-%05d'", i%40, i%30, i)
	}
	for i := range 20000 {
		store.Learn(store.Estimate(store.Parse(texts[i%200]), nil, costmodel.NoClass, Hint{WorkMillis: 50}), costmodel.Observation{WorkMillis: 100 + float64(i%7)})
	}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		i++
		store.Learn(store.Estimate(store.Parse(texts[i%200]), nil, costmodel.NoClass, Hint{WorkMillis: 50}), costmodel.Observation{WorkMillis: 100 + float64(i%7)})
	}
}
