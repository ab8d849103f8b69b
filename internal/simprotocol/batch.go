package simprotocol

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"time"
)

const (
	initialLineBuffer = 1 << 20   // bytes
	maxLineLength     = 256 << 20 // bytes; the settings and engine tables of a large site
)

// Faults in the order of messages.
var (
	errBatchStillOpen   = errors.New(string(messageClock) + ": batch still open")
	errInputEndsInBatch = errors.New("input ended inside the batch")
)

// notInBatchError reports a message between two batches.
type notInBatchError struct{ message messageName }

func (e *notInBatchError) Error() string { return string(e.message) + ": no batch is open" }

// BatchError reports what is wrong with the input, and in which batch.
type BatchError struct {
	Batch int64 // number of the batch that was opened last; 0 before the first
	Err   error
}

func (e *BatchError) Error() string { return fmt.Sprintf("batch %d: %v", e.Batch, e.Err) }

// Unwrap returns the fault itself.
func (e *BatchError) Unwrap() error { return e.Err }

// batchState decides whether the next message must open a batch or belong to one.
type batchState int

const (
	betweenBatches batchState = iota
	inBatch
)

// batchReader responds to the batches of one input.
type batchReader struct {
	host   *Host
	output *bufio.Writer
	state  batchState
	batch  int64         // number of the batch that was opened last
	now    time.Duration // the time of that batch
}

// Run responds to batches until the input ends. An end between batches is no error. A fault of the input is
// returned as a *BatchError.
func (h *Host) Run(in io.Reader, out io.Writer) error {
	lines := bufio.NewScanner(in)
	lines.Buffer(make([]byte, initialLineBuffer), maxLineLength)
	reader := &batchReader{host: h, output: bufio.NewWriter(out)}
	for lines.Scan() {
		if len(lines.Bytes()) == 0 {
			continue
		}
		if err := reader.handleLine(lines.Bytes()); err != nil {
			return err
		}
	}
	if err := lines.Err(); err != nil {
		return reader.fault(fmt.Errorf("read: %w", err))
	}
	if reader.state == inBatch {
		return reader.fault(errInputEndsInBatch)
	}
	return nil
}

// fault returns a fault of the input with the number of the batch.
func (r *batchReader) fault(err error) error { return &BatchError{Batch: r.batch, Err: err} }

// handleLine handles one line of input.
func (r *batchReader) handleLine(line []byte) error {
	message, err := parseMessage(line)
	if err != nil {
		return r.fault(err)
	}
	switch {
	case message.name == messageClock && r.state == inBatch:
		return r.fault(errBatchStillOpen)
	case message.name == messageClock:
		r.open(message)
	case r.state == betweenBatches:
		return r.fault(&notInBatchError{message: message.name})
	case message.name == messageEndBatch:
		return r.close()
	default:
		r.host.handleMessage(r.now, message)
	}
	if message.err != nil {
		return r.fault(message.err)
	}
	return nil
}

// open starts a batch at the time of its message.
func (r *batchReader) open(message *inputMessage) {
	r.now = milliseconds(clockTimeMS.required(message))
	r.batch = clockBatch.required(message)
	r.state = inBatch
	r.host.output = r.host.output[:0]
}

// close writes the response to the batch.
func (r *batchReader) close() error {
	r.state = betweenBatches
	r.host.output = encodeBatchDone(r.host.output, r.batch)
	if _, err := r.output.Write(r.host.output); err != nil {
		return fmt.Errorf("write: %w", err)
	}
	if err := r.output.Flush(); err != nil {
		return fmt.Errorf("write: %w", err)
	}
	return nil
}
