package stmtstats

import (
	"fmt"
	"os"
	"path/filepath"
)

// ReadSnapshot reads a snapshot from a file.
func ReadSnapshot(path string) (*Snapshot, error) {
	encoded, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	snapshot, err := decodeSnapshot(encoded)
	if err != nil {
		return nil, fmt.Errorf("snapshot %s: %w", path, err)
	}
	return snapshot, nil
}

// Write stores the snapshot in a file. It writes a temporary file, syncs it and renames it over the
// snapshot file, so that a crash leaves either the old snapshot or the new one.
func (s *Snapshot) Write(path string) error {
	encoded, err := s.encode()
	if err != nil {
		return err
	}
	if err := replaceFile(path, encoded); err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	syncDirectory(filepath.Dir(path))
	return nil
}

// temporaryInfix separates the name of the snapshot from the random part in the name of a temporary file.
const temporaryInfix = ".new-"

// removeLeftovers removes the temporary files of processes that were killed during a write. No other
// process writes this snapshot, so the files are not in use. Errors are ignored, because a leftover file
// only uses disk space.
func removeLeftovers(path string) {
	leftovers, err := filepath.Glob(path + temporaryInfix + "*")
	if err != nil {
		return
	}
	for _, leftover := range leftovers {
		_ = os.Remove(leftover)
	}
}

// replaceFile atomically replaces the file with the contents.
func replaceFile(path string, contents []byte) (err error) {
	file, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)+temporaryInfix+"*")
	if err != nil {
		return fmt.Errorf("create temporary file: %w", err)
	}
	defer func() {
		if err != nil {
			_ = os.Remove(file.Name())
		}
	}()
	if err := writeAndClose(file, contents); err != nil {
		return fmt.Errorf("write temporary file: %w", err)
	}
	if err := os.Rename(file.Name(), path); err != nil {
		return fmt.Errorf("rename temporary file: %w", err)
	}
	return nil
}

// writeAndClose writes and syncs the contents and closes the file in any case. It returns the
// first error.
func writeAndClose(file *os.File, contents []byte) error {
	_, err := file.Write(contents)
	if err == nil {
		err = file.Sync()
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	return err
}

// syncDirectory makes a rename within the directory durable. It ignores errors: if the machine crashes
// before the rename is durable, the previous snapshot remains and is complete.
func syncDirectory(path string) {
	directory, err := os.Open(path)
	if err != nil {
		return
	}
	_ = directory.Sync()
	_ = directory.Close()
}
