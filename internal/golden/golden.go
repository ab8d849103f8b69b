// Package golden compares the output of a test with a golden file. Only tests and their helper
// packages import it. With the flag -update, a test writes its golden files before the comparison:
//
//	go test ./internal/observability -update
package golden

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"testing"
)

// The modes of the golden files and directories that -update creates.
const (
	fileMode      = 0o644
	directoryMode = 0o755
)

var update = flag.Bool("update", false, "write the golden files")

// Compare marks the test as failed if the bytes differ from the golden file at the path, and reports
// the first line that differs. With the flag -update it first writes the bytes to the file.
func Compare(tb testing.TB, path string, got []byte) {
	tb.Helper()
	if *update {
		write(tb, path, got)
	}
	want, err := os.ReadFile(path)
	if err != nil {
		tb.Fatal(err)
	}
	if bytes.Equal(got, want) {
		return
	}
	number, gotLine, wantLine := firstDifference(got, want)
	tb.Errorf("%s differs first at line %d (%d bytes, want %d)\n got: %s\nwant: %s",
		path, number, len(got), len(want), describeLine(gotLine), describeLine(wantLine))
}

// write writes a golden file and creates its directory.
func write(tb testing.TB, path string, content []byte) {
	tb.Helper()
	if err := os.MkdirAll(filepath.Dir(path), directoryMode); err != nil {
		tb.Fatal(err)
	}
	if err := os.WriteFile(path, content, fileMode); err != nil {
		tb.Fatal(err)
	}
}
