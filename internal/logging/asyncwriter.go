package logging

import (
	"io"
	"sync"
	"time"
)

const (
	// maxQueuedBytes limits the total size of the lines that wait to be written.
	maxQueuedBytes = 256 << 10
	// flushPollInterval is how often Flush checks whether all lines are written.
	flushPollInterval = time.Millisecond
)

// AsyncWriter writes lines on its own goroutine, so that Write never blocks. While the output blocks,
// for example a pipe that nobody reads, up to maxQueuedBytes of lines are queued; lines beyond this
// limit are dropped and counted. AsyncWriter is safe for concurrent use.
type AsyncWriter struct {
	out    io.Writer
	wakeUp chan struct{} // wakes up run; buffered, so that no signal is lost while run is busy

	mu          sync.Mutex // guards the fields below
	queue       [][]byte
	queuedBytes int
	writing     bool // run has removed a line from the queue and has not written it yet
	dropped     int64
}

// NewAsyncWriter returns a writer to the output. The writer's goroutine runs until the process exits.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{out: out, wakeUp: make(chan struct{}, 1)}
	go w.run()
	return w
}

// Write implements io.Writer. It returns no error for a dropped line, because callers have nowhere
// else to report the error; Dropped counts such lines.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	if w.queuedBytes+len(line) > maxQueuedBytes {
		w.dropped++
	} else {
		w.queue = append(w.queue, append([]byte(nil), line...))
		w.queuedBytes += len(line)
	}
	w.mu.Unlock()
	select {
	case w.wakeUp <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Dropped returns how many lines so far were dropped because the queue was full, or because of a write error.
func (w *AsyncWriter) Dropped() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dropped
}

// Flush blocks until all lines are written or the timeout expires.
func (w *AsyncWriter) Flush(timeout time.Duration) {
	for deadline := time.Now().Add(timeout); !w.idle() && time.Now().Before(deadline); {
		time.Sleep(flushPollInterval)
	}
}

func (w *AsyncWriter) idle() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.queue) == 0 && !w.writing
}

func (w *AsyncWriter) run() {
	for range w.wakeUp {
		for line := w.next(); line != nil; line = w.next() {
			if _, err := w.out.Write(line); err != nil {
				w.countDropped()
			}
		}
	}
}

// next removes the next line from the queue and returns it, or nil if the queue is empty.
func (w *AsyncWriter) next() []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.writing = len(w.queue) > 0
	if !w.writing {
		w.queue = nil
		return nil
	}
	line := w.queue[0]
	w.queue = w.queue[1:]
	w.queuedBytes -= len(line)
	return line
}

func (w *AsyncWriter) countDropped() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dropped++
}
