package pgproto

import (
	"encoding/binary"
	"fmt"
)

// Codes at the start of a connection's first message: a protocol version, or a special request in place of a startup.
const (
	ProtocolVersion   = 3 << 16
	CancelRequestCode = 80877102
	SSLRequestCode    = 80877103
	GSSENCRequestCode = 80877104
)

// maxStartup is the largest first message of a connection in bytes, as in PostgreSQL.
const maxStartup = 10000

const (
	lengthSize        = int32Size // size of a message's length field, which includes itself
	codeSize          = int32Size
	startupHeaderSize = lengthSize + codeSize
)

// ParseStartup decodes a connection's first message: its code and its body, which is a
// slice of the input. It returns the size of the message, or 0 while the message is
// incomplete.
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
func AppendStartup(output []byte, code uint32, body []byte) []byte {
	output = binary.BigEndian.AppendUint32(output, uint32(startupHeaderSize+len(body)))
	output = binary.BigEndian.AppendUint32(output, code)
	return append(output, body...)
}
