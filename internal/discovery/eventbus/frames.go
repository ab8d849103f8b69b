package eventbus

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// The layout of a frame: its length in four bytes, which counts what follows; then the
// event's number, the kind and the payload. Numbers are big-endian.
const (
	lengthSize     = 4
	eventOffset    = lengthSize
	kindOffset     = eventOffset + 8
	payloadOffset  = kindOffset + 1
	minFrameLength = payloadOffset - lengthSize // of a frame without payload
	maxFrameLength = 1 << 20
	maxMessageSize = lengthSize + maxFrameLength // what the read buffer has to hold
)

// frameKind says what a frame's payload is.
type frameKind byte

const (
	frameHeartbeat frameKind = 0 // nothing: the bus is alive
	frameFull      frameKind = 1 // records of all engines
	frameDelta     frameKind = 2 // records of the engines that changed
)

// frame is one message of the bus.
type frame struct {
	event   uint64 // the event's number
	kind    frameKind
	payload []byte // part of the read buffer
}

// size is the number of bytes that the frame took.
func (f frame) size() int { return payloadOffset + len(f.payload) }

// Protocol errors. Each ends the connection.
var (
	errFrameLength      = errors.New("invalid frame length")
	errUnknownFrameKind = errors.New("unknown frame kind")
)

// errFrameIncomplete means that more bytes have to be read.
var errFrameIncomplete = errors.New("frame incomplete")

// eventError is a protocol error in the records of one event.
type eventError struct {
	Event uint64 // the event's number
	Err   error
}

// Error implements error.
func (e *eventError) Error() string { return fmt.Sprintf("event %d: %v", e.Event, e.Err) }

// Unwrap returns what is wrong with the records.
func (e *eventError) Unwrap() error { return e.Err }

// parseFrame reads the frame at the start of b. Its error is errFrameIncomplete where b
// ends before the frame does.
func parseFrame(b []byte) (frame, error) {
	if len(b) < lengthSize {
		return frame{}, errFrameIncomplete
	}
	length := binary.BigEndian.Uint32(b)
	if length < minFrameLength || length > maxFrameLength {
		return frame{}, fmt.Errorf("%w: %d bytes", errFrameLength, length)
	}
	size := lengthSize + int(length)
	if len(b) < size {
		return frame{}, errFrameIncomplete
	}
	return frame{
		event:   binary.BigEndian.Uint64(b[eventOffset:]),
		kind:    frameKind(b[kindOffset]),
		payload: b[payloadOffset:size],
	}, nil
}
