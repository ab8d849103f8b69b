// Package discoverytest holds the helpers that the tests of the endpoint list's sources
// share. Only tests import it.
package discoverytest

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"testing"
	"time"

	"flaxrelay/policy"
)

var updateGolden = flag.Bool("update", false, "write the golden files anew")

// Patience bounds a wait for something that is expected to happen.
const Patience = 10 * time.Second

// StateNames words the states of engines, as golden files do.
var StateNames = map[policy.EngineState]string{
	policy.EngineReady:    "ready",
	policy.EngineDraining: "draining",
	policy.EngineRemoved:  "gone",
}

// Must ends the test where there is an error.
func Must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// Receive returns the channel's next value, and ends the test where none comes.
func Receive[T any](t *testing.T, c <-chan T, what string) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(Patience):
		t.Fatalf("%s: nothing came", what)
		panic("unreachable")
	}
}

// CompareGolden compares the bytes with the golden file at the path, which the flag
// -update writes anew.
func CompareGolden(t *testing.T, path string, got []byte) {
	t.Helper()
	if *updateGolden {
		Must(t, os.MkdirAll(filepath.Dir(path), 0o700))
		Must(t, os.WriteFile(path, got, 0o600))
	}
	want, err := os.ReadFile(path)
	Must(t, err)
	if !bytes.Equal(got, want) {
		t.Errorf("%s: got\n%s\nwant\n%s", path, got, want)
	}
}
