// Package golden compares what a test produced with a golden file. Only tests and the
// packages that support them import it.
package golden

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"testing"
)

// The modes of a golden file and of a directory for it that -update creates.
const (
	fileMode      = 0o644
	directoryMode = 0o755
)

var update = flag.Bool("update", false, "write the golden files anew")

// Compare fails the test unless the bytes are those of the golden file at the path, and
// names the first line that differs. The flag -update writes the file anew first.
func Compare(t testing.TB, path string, got []byte) {
	t.Helper()
	if *update {
		write(t, path, got)
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if bytes.Equal(got, want) {
		return
	}
	number, gotLine, wantLine := firstDifference(got, want)
	t.Errorf("%s differs first at line %d (%d bytes, want %d)\n got: %s\nwant: %s",
		path, number, len(got), len(want), describeLine(gotLine), describeLine(wantLine))
}

func write(t testing.TB, path string, content []byte) {
	t.Helper()
	if err := os.MkdirAll(filepath.Dir(path), directoryMode); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, content, fileMode); err != nil {
		t.Fatal(err)
	}
}
