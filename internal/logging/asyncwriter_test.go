package logging

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"
)

// blockingOutput is an output that blocks while it is locked.
type blockingOutput struct {
	mu  sync.Mutex
	out bytes.Buffer
}

func (o *blockingOutput) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.out.Write(p) //nolint:wrapcheck // a bytes.Buffer returns no error
}

// Lines are written completely and in order. While the output blocks, Write does not block, the queue
// stays limited, and lines that do not fit into it are counted.
func TestAsyncWriter_WriteDoesNotBlockWhileTheOutputDoes(t *testing.T) {
	const lines = 20000
	var output blockingOutput
	writer := NewAsyncWriter(&output)
	output.mu.Lock()
	for n := range lines {
		if _, err := fmt.Fprintf(writer, "line %06d of a log that nobody reads\n", n); err != nil {
			t.Fatal(err)
		}
	}
	writer.Flush(10 * time.Millisecond) // returns although nothing is written
	output.mu.Unlock()
	writer.Flush(10 * time.Second)
	output.mu.Lock()
	defer output.mu.Unlock()
	written := strings.Count(output.out.String(), "\n")
	if dropped := writer.Dropped(); dropped == 0 || int64(written)+dropped != lines {
		t.Errorf("%d lines written and %d dropped of %d", written, dropped, lines)
	}
	if !strings.HasPrefix(output.out.String(), "line 000000 of a log that nobody reads\nline 000001 ") {
		t.Errorf("the output begins with %.80q", output.out.String())
	}
}

type brokenOutput struct{}

func (brokenOutput) Write([]byte) (int, error) { return 0, errors.New("broken pipe") }

func TestAsyncWriter_CountsLinesThatTheOutputFailsToWrite(t *testing.T) {
	writer := NewAsyncWriter(brokenOutput{})
	if _, err := io.WriteString(writer, "line\n"); err != nil {
		t.Fatal(err)
	}
	writer.Flush(10 * time.Second)
	if n := writer.Dropped(); n != 1 {
		t.Errorf("%d lines counted as dropped, want 1", n)
	}
}
