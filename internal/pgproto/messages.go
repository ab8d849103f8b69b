package pgproto

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// ErrMalformed is wrapped by the errors for messages that can't be decoded.
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
	ServerDataRow                  byte = 'D'
	ServerEmptyQueryResponse       byte = 'I'
	ServerErrorResponse            byte = 'E'
	ServerNegotiateProtocolVersion byte = 'v'
	ServerNoData                   byte = 'n'
	ServerNoticeResponse           byte = 'N'
	ServerNotificationResponse     byte = 'A'
	ServerParameterDescription     byte = 't'
	ServerParameterStatus          byte = 'S'
	ServerParseComplete            byte = '1'
	ServerPortalSuspended          byte = 's'
	ServerReadyForQuery            byte = 'Z'
	ServerRowDescription           byte = 'T'
)

// AuthenticationOK is the code of an Authentication message that ends the authentication.
const AuthenticationOK = 0

// Targets of a Describe or a Close.
const (
	TargetStatement byte = 'S'
	TargetPortal    byte = 'P'
)

// TransactionIdle is the transaction status in a ReadyForQuery outside a transaction.
const TransactionIdle byte = 'I'

// Format codes of values.
const (
	FormatText   = 0
	FormatBinary = 1
)

// messageHeaderSize is the size of a message's kind and length fields in bytes. The length includes itself and the
// body, but not the kind.
const messageHeaderSize = 1 + lengthSize

// ParseMessage decodes the first message of the input: its kind and its body, which is
// a slice of the input. It returns the size of the message, or 0 while the message is
// incomplete. A length above maxLength is an error.
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

// AppendMessage appends one message. Its body is the concatenation of the parts.
func AppendMessage(output []byte, kind byte, body ...[]byte) []byte {
	length := lengthSize
	for _, part := range body {
		length += len(part)
	}
	output = append(output, kind)
	output = binary.BigEndian.AppendUint32(output, uint32(length))
	for _, part := range body {
		output = append(output, part...)
	}
	return output
}
