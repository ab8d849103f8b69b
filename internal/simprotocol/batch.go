package simprotocol

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"time"

	"flaxrelay/internal/config"
)

const (
	initialLineBuffer = 1 << 20   // bytes
	maxLineLength     = 256 << 20 // bytes; enough for the settings and engine tables of a large site
)

// Errors in the order of messages.
var (
	errBatchStillOpen   = errors.New(string(messageClock) + ": batch still open")
	errInputEndsInBatch = errors.New("input ended inside the batch")
)

// notInBatchError reports a message between two batches.
type notInBatchError struct{ message messageName }

// Error implements error.
func (e *notInBatchError) Error() string { return string(e.message) + ": no batch is open" }

// BatchError reports an error in the input, with the batch in which it occurred.
type BatchError struct {
	Batch int64 // number of the batch that was opened last; 0 before the first
	Err   error
}

// Error implements error.
func (e *BatchError) Error() string { return fmt.Sprintf("batch %d: %v", e.Batch, e.Err) }

// Unwrap returns the error in the input.
func (e *BatchError) Unwrap() error { return e.Err }

// batchState defines whether a batch is open. Between batches, the next message must open a batch.
type batchState int

const (
	betweenBatches batchState = iota
	inBatch
)

// batchReader reads the batches of one input, passes their messages to the host and writes the
// responses.
type batchReader struct {
	host  *Host
	out   io.Writer
	state batchState
	batch int64         // number of the batch that was opened last
	now   time.Duration // the time of the batch that was opened last
}

// Run responds to batches until the input ends. It returns nil if the input ends between batches, a
// *BatchError if the input is invalid or cannot be read, and the wrapped error of the write if a write fails.
func (h *Host) Run(in io.Reader, out io.Writer) error {
	lines := bufio.NewScanner(in)
	lines.Buffer(make([]byte, initialLineBuffer), maxLineLength)
	reader := &batchReader{host: h, out: out}
	for lines.Scan() {
		if len(lines.Bytes()) == 0 {
			continue
		}
		if err := reader.handleLine(lines.Bytes()); err != nil {
			return err
		}
	}
	if err := lines.Err(); err != nil {
		return reader.inputError(fmt.Errorf("read: %w", err))
	}
	if reader.state == inBatch {
		return reader.inputError(errInputEndsInBatch)
	}
	return nil
}

// inputError adds the number of the batch to an error in the input.
func (r *batchReader) inputError(err error) error { return &BatchError{Batch: r.batch, Err: err} }

// handleLine handles one line of input.
func (r *batchReader) handleLine(line []byte) error {
	message, err := parseMessage(line)
	if err != nil {
		return r.inputError(err)
	}
	switch {
	case message.name == messageClock && r.state == inBatch:
		return r.inputError(errBatchStillOpen)
	case message.name == messageClock:
		r.open(message)
	case r.state == betweenBatches:
		return r.inputError(&notInBatchError{message: message.name})
	case message.name == messageEndBatch:
		return r.close()
	default:
		r.host.handleMessage(r.now, message)
	}
	if message.err != nil {
		return r.inputError(message.err)
	}
	return nil
}

// open starts a batch. The message contains its time and number.
func (r *batchReader) open(message *inputMessage) {
	r.now = config.FromMilliseconds(clockTimeMS.required(message))
	r.batch = clockBatch.required(message)
	r.state = inBatch
	r.host.output = r.host.output[:0]
}

// close writes the response to the batch.
func (r *batchReader) close() error {
	r.state = betweenBatches
	r.host.output = encodeBatchDone(r.host.output, r.batch)
	if _, err := r.out.Write(r.host.output); err != nil {
		return fmt.Errorf("write: %w", err)
	}
	return nil
}
