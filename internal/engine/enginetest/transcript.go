package enginetest

import (
	"bytes"
	"fmt"
	"path/filepath"
	"strings"
	"testing"

	"flaxrelay/internal/golden"
	"flaxrelay/internal/metrics"
)

// Transcript is the text that an Exchange compares with its golden file. Its lines begin with `> `
// for bytes from the client, with `< ` for bytes from the engine, and with `= ` for reports of the
// client. It must be used on the test's goroutine, or on another goroutine while the test's
// goroutine waits for it.
type Transcript struct {
	// T is the test that plays the engine.
	T *testing.T

	text            bytes.Buffer
	printedCounters map[string]bool // the lines of counters that text contains
}

// newTranscript returns an empty transcript.
func newTranscript(t *testing.T) *Transcript {
	t.Helper()
	return &Transcript{T: t, printedCounters: map[string]bool{}}
}

// Printf adds formatted text.
func (t *Transcript) Printf(format string, args ...any) { fmt.Fprintf(&t.text, format, args...) }

// Check ends the test on an error.
func (t *Transcript) Check(err error) {
	t.T.Helper()
	if err != nil {
		t.fatalf("%v", err)
	}
}

// fatalf ends the test with a message and the current transcript.
func (t *Transcript) fatalf(format string, args ...any) {
	t.T.Helper()
	t.T.Fatalf("%s; transcript so far:\n%s", fmt.Sprintf(format, args...), t.text.String())
}

// printCounters adds the counters whose names begin with the prefix, except for the counters that
// were added earlier with the same value.
func (t *Transcript) printCounters(counters *metrics.Counters, prefix string) {
	var lines bytes.Buffer
	counters.Print(&lines)
	for line := range strings.Lines(lines.String()) {
		if strings.HasPrefix(line, "count "+prefix) && !t.printedCounters[line] {
			t.printedCounters[line] = true
			t.Printf("= %s", strings.TrimPrefix(line, "count "))
		}
	}
}

// compareGolden compares the text with the golden file of this name.
func (t *Transcript) compareGolden(name string) {
	t.T.Helper()
	golden.Compare(t.T, filepath.Join("testdata", "golden", name+".txt"), t.text.Bytes())
}
