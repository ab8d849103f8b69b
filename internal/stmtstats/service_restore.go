package stmtstats

import (
	"errors"
	"io/fs"
	"os"
	"time"
)

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
		s.counters.IncrementByName("shapes.snapshot-unreadable")
		s.log.Warn("shapes.snapshot-unreadable", "file", path, "error", err)
	default:
		s.counters.IncrementByName("shapes.snapshot-unusable")
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
