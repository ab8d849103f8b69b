package stmtstats

import (
	"errors"
	"io/fs"
	"log/slog"
	"os"
	"time"

	"flaxrelay/internal/logevent"
	"flaxrelay/internal/metrics"
)

// restore sets the store from the snapshot file, or leaves it nil if no usable snapshot exists.
func (s *Service) restore(options Options) {
	path := s.settings.SnapshotPath
	removeLeftovers(path)
	store, err := restoreWithRetries(options, path)
	var readError *fs.PathError
	switch {
	case err == nil:
		s.store = store
		logevent.ShapesRestored.Log(s.log, slog.String("file", path), slog.Int("shapes", store.Len()))
	case errors.Is(err, fs.ErrNotExist): // no snapshot was written yet
	case errors.As(err, &readError):
		s.counters.Increment(metrics.ShapesSnapshotUnreadable)
		logevent.ShapesSnapshotUnreadable.Log(s.log, slog.String("file", path), slog.Any("error", err))
	default:
		s.counters.Increment(metrics.ShapesSnapshotUnusable)
		unusablePath := path + ".unusable"
		renameErr := os.Rename(path, unusablePath)
		logevent.ShapesSnapshotUnusable.Log(s.log, slog.String("file", path), slog.Any("error", err),
			slog.String("renamed_to", unusablePath), slog.Any("rename_error", renameErr))
	}
}

const (
	// readAttempts is the number of attempts to read a snapshot.
	readAttempts = 5
	// readRetryDelay is the pause after each failed attempt.
	readRetryDelay = 20 * time.Millisecond
)

// restoreWithRetries restores a store from the file. It retries if the file exists but can't be read,
// because a disk fault may be transient.
func restoreWithRetries(options Options, path string) (store *Store, err error) {
	for range readAttempts {
		var readError *fs.PathError
		store, err = restoreFile(options, path)
		if !errors.As(err, &readError) || errors.Is(err, fs.ErrNotExist) {
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
