package pgproto

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// ErrMalformed is wrapped by the errors of messages that can't be read.
var ErrMalformed = errors.New("malformed message")

// Kinds of messages that a client sends after its startup.
const (
	ClientBind         byte = 'B'
	ClientClose        byte = 'C'
	ClientCopyData     byte = 'd'
	ClientCopyDone     byte = 'c'
	ClientCopyFail     byte = 'f'
	ClientDescribe     byte = 'D'
	ClientExecute      byte = 'E'
	ClientFlush        byte = 'H'
	ClientFunctionCall byte = 'F'
	ClientParse        byte = 'P'
	ClientPassword     byte = 'p'
	ClientQuery        byte = 'Q'
	ClientSync         byte = 'S'
	ClientTerminate    byte = 'X'
)

// Kinds of messages that a server sends.
const (
	ServerAuthentication           byte = 'R'
	ServerBackendKeyData           byte = 'K'
	ServerBindComplete             byte = '2'
	ServerCloseComplete            byte = '3'
	ServerCommandComplete          byte = 'C'
	ServerEmptyQueryResponse       byte = 'I'
	ServerErrorResponse            byte = 'E'
	ServerNegotiateProtocolVersion byte = 'v'
	ServerNoData                   byte = 'n'
	ServerParameterDescription     byte = 't'
	ServerParameterStatus          byte = 'S'
	ServerParseComplete            byte = '1'
	ServerPortalSuspended          byte = 's'
	ServerReadyForQuery            byte = 'Z'
	ServerRowDescription           byte = 'T'
)

// What a Describe or a Close names.
const (
	TargetStatement byte = 'S'
	TargetPortal    byte = 'P'
)

// TransactionIdle is the status of a ReadyForQuery outside a transaction.
const TransactionIdle byte = 'I'

// Format codes of values.
const (
	FormatText   = 0
	FormatBinary = 1
)

const messageHeaderSize = 1 + lengthSize // a kind and a length, which does not count the kind

// ParseMessage reads one message: its kind and its body. It returns the size of the message, or 0
// while that is incomplete. A length above maxLength is an error.
func ParseMessage(input []byte, maxLength int) (kind byte, body []byte, size int, err error) {
	if len(input) < messageHeaderSize {
		return 0, nil, 0, nil
	}
	length := int(binary.BigEndian.Uint32(input[1:]))
	if length < lengthSize || length > maxLength {
		return 0, nil, 0, fmt.Errorf("%w: %d bytes", ErrMalformed, length)
	}
	size = 1 + length
	if len(input) < size {
		return 0, nil, 0, nil
	}
	return input[0], input[messageHeaderSize:size], size, nil
}

// AppendMessage appends one message, whose body is given in parts.
func AppendMessage(b []byte, kind byte, body ...[]byte) []byte {
	length := lengthSize
	for _, part := range body {
		length += len(part)
	}
	b = binary.BigEndian.AppendUint32(append(b, kind), uint32(length))
	for _, part := range body {
		b = append(b, part...)
	}
	return b
}
