package e2e

import (
	"bytes"
	"fmt"
	"io"
	"path/filepath"
	"strings"
	"testing"

	"flaxrelay/internal/golden"
)

// longRun is the minimum length, in bytes, of a run of equal bytes that a transcript abbreviates.
const longRun = 40

// transcript records the bytes of an exchange, for comparison with a golden file. Each line contains the name of the
// connection, the direction and a quoted piece of the stream.
type transcript struct {
	t    *testing.T
	text strings.Builder
}

func newTranscript(t *testing.T) *transcript {
	t.Helper()
	return &transcript{t: t}
}

// add records one piece of the stream. A long run of equal bytes is written as its length and the byte.
func (tr *transcript) add(connection, direction string, piece []byte) {
	_, _ = fmt.Fprintf(&tr.text, "%s%s", connection, direction)
	for len(piece) > 0 {
		plain, runLength := splitAtRun(piece)
		if len(plain) > 0 {
			fmt.Fprintf(&tr.text, " %q", plain)
		}
		if runLength > 0 {
			fmt.Fprintf(&tr.text, " %d*%q", runLength, piece[len(plain):len(plain)+1])
		}
		piece = piece[len(plain)+runLength:]
	}
	tr.text.WriteByte('\n')
}

// splitAtRun returns the bytes before the first long run of equal bytes, and the length of the run. Without a long run,
// it returns the whole piece and 0.
func splitAtRun(piece []byte) (plain []byte, runLength int) {
	start := 0
	for i := range piece {
		if piece[i] != piece[start] {
			start = i
		}
		if i-start+1 < longRun {
			continue
		}
		end := i + 1
		for end < len(piece) && piece[end] == piece[start] {
			end++
		}
		return piece[:start], end - start
	}
	return piece, 0
}

// addLines records text line by line.
func (tr *transcript) addLines(connection, direction string, text []byte) {
	for line := range bytes.Lines(text) {
		tr.add(connection, direction, line)
	}
}

// addEvent records an event other than a piece of a stream.
func (tr *transcript) addEvent(connection, description string) {
	fmt.Fprintf(&tr.text, "%s# %s\n", connection, description)
}

// compare compares the transcript with its golden file.
func (tr *transcript) compare(name string) {
	tr.t.Helper()
	golden.Compare(tr.t, filepath.Join("testdata", name+".golden"), []byte(tr.text.String()))
}

// readToEnd reads until the peer closes the connection.
func readToEnd(t *testing.T, r io.Reader) []byte {
	t.Helper()
	rest, err := io.ReadAll(r)
	if err != nil {
		t.Fatalf("after %q: %v", rest, err)
	}
	return rest
}
