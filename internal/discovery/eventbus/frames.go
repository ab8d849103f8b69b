package eventbus

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// The layout of a frame, as offsets and sizes in bytes: the length of what follows, the number of the
// event, the kind and the payload. Numbers are big-endian.
const (
	lengthSize     = 4
	eventOffset    = lengthSize
	kindOffset     = eventOffset + 8
	payloadOffset  = kindOffset + 1
	minFrameLength = payloadOffset - lengthSize // length of a frame without payload
	maxFrameLength = 1 << 20
	maxFrameSize   = lengthSize + maxFrameLength // size of the read buffer
)

// frameKind is the kind of a frame and defines its payload.
type frameKind byte

const (
	frameHeartbeat frameKind = 0 // no payload; the bus is alive
	frameFull      frameKind = 1 // the records of all engines
	frameDelta     frameKind = 2 // the records of the engines that changed
)

// frame is one message of the bus.
type frame struct {
	event   uint64 // number of the event
	kind    frameKind
	payload []byte // part of the read buffer
}

// size returns the size of the encoded frame in bytes.
func (f frame) size() int { return payloadOffset + len(f.payload) }

// Protocol errors. Each ends the connection.
var (
	errFrameLength      = errors.New("invalid frame length")
	errUnknownFrameKind = errors.New("unknown frame kind")
)

// errFrameIncomplete reports that a frame has been received only in part.
var errFrameIncomplete = errors.New("frame incomplete")

// eventError is a protocol error in the records of one event.
type eventError struct {
	Event uint64 // number of the event
	Err   error
}

// Error implements error.
func (e *eventError) Error() string { return fmt.Sprintf("event %d: %v", e.Event, e.Err) }

// Unwrap returns the error of the records.
func (e *eventError) Unwrap() error { return e.Err }

// parseFrame parses the frame at the start of the input. It returns errFrameIncomplete if the input
// ends inside the frame.
func parseFrame(input []byte) (frame, error) {
	if len(input) < lengthSize {
		return frame{}, errFrameIncomplete
	}
	length := binary.BigEndian.Uint32(input)
	if length < minFrameLength || length > maxFrameLength {
		return frame{}, fmt.Errorf("%w: %d bytes", errFrameLength, length)
	}
	size := lengthSize + int(length)
	if len(input) < size {
		return frame{}, errFrameIncomplete
	}
	return frame{
		event:   binary.BigEndian.Uint64(input[eventOffset:]),
		kind:    frameKind(input[kindOffset]),
		payload: input[payloadOffset:size],
	}, nil
}
