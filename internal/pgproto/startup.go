package pgproto

import (
	"encoding/binary"
	"fmt"
)

// Codes that the first message of a connection begins with: a protocol version, or a
// request in its place.
const (
	ProtocolVersion   = 3 << 16
	CancelRequestCode = 80877102
	SSLRequestCode    = 80877103
	GSSENCRequestCode = 80877104
)

// maxStartup bounds the bytes of a connection's first message, as PostgreSQL does.
const maxStartup = 10000

const (
	lengthSize        = 4 // bytes of a message's length, which counts itself
	startupHeaderSize = lengthSize + 4
)

// ParseStartup reads a connection's first message: its code and what follows. It returns the
// size of the message, or 0 while that is incomplete.
func ParseStartup(input []byte) (code uint32, body []byte, size int, err error) {
	if len(input) < lengthSize {
		return 0, nil, 0, nil
	}
	length := int(binary.BigEndian.Uint32(input))
	if length < startupHeaderSize || length > maxStartup {
		return 0, nil, 0, fmt.Errorf("%w: a first message of %d bytes", ErrMalformed, length)
	}
	if len(input) < length {
		return 0, nil, 0, nil
	}
	return binary.BigEndian.Uint32(input[lengthSize:]), input[startupHeaderSize:length], length, nil
}

// AppendStartup appends a connection's first message.
func AppendStartup(b []byte, code uint32, body []byte) []byte {
	b = binary.BigEndian.AppendUint32(b, uint32(startupHeaderSize+len(body)))
	b = binary.BigEndian.AppendUint32(b, code)
	return append(b, body...)
}
