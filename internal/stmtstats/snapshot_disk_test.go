package stmtstats

import (
	"errors"
	"log/slog"
	"os"
	"path/filepath"
	"testing"
	"time"

	"flaxrelay/internal/metrics"
)

// startService starts a service that continues from the snapshot, and returns its counters.
func startService(t *testing.T, path string) *metrics.Counters {
	t.Helper()
	settings := Settings{MaxBytes: testCacheBytes, SnapshotPath: path, SnapshotInterval: time.Hour}
	return newTestService(t, settings, slog.New(slog.DiscardHandler)).counters
}

// The temporary files of a process that was killed during a write are removed at the next start, because
// nothing else would remove them.
func TestNewService_RemovesIncompleteTemporaryFiles(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "shapes")
	leftover := path + ".new-123"
	other := filepath.Join(dir, "other.new-123")
	for _, name := range []string{leftover, other} {
		if err := os.WriteFile(name, []byte("half"), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	startService(t, path)
	if _, err := os.Stat(leftover); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("the temporary file was not removed: %v", err)
	}
	if _, err := os.Stat(other); err != nil {
		t.Errorf("a file with another name was removed: %v", err)
	}
}

// A snapshot that can't be read does not count as damaged. It keeps its name, so that a later start can
// use its records.
func TestNewService_KeepsUnreadableSnapshot(t *testing.T) {
	path := filepath.Join(t.TempDir(), "shapes")
	if err := os.Mkdir(path, 0o700); err != nil { // reading a directory fails with EISDIR
		t.Fatal(err)
	}
	counters := startService(t, path)
	if _, err := os.Stat(path); err != nil {
		t.Errorf("the snapshot was moved: %v", err)
	}
	if n := counters.Get(metrics.ShapesSnapshotUnreadable); n != 1 {
		t.Errorf("%d unreadable snapshots counted, want 1", n)
	}
	if n := counters.Get(metrics.ShapesSnapshotUnusable); n != 0 {
		t.Errorf("%d snapshots counted as damaged", n)
	}
}

// If the snapshot file can't be replaced, Write returns an error and removes its temporary file.
func TestSnapshotWrite_RemovesTemporaryFileOnFailure(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "shapes")
	if err := os.MkdirAll(filepath.Join(path, "entry"), 0o700); err != nil { // a file can't replace a directory
		t.Fatal(err)
	}
	if err := newTestStore(t).Snapshot().Write(path); err == nil {
		t.Error("no error")
	}
	files, err := os.ReadDir(dir)
	if err != nil || len(files) != 1 {
		t.Errorf("files after the failure: %v, %v", files, err)
	}
}
