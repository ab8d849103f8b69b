package pgproto

import (
	"bytes"
	"fmt"
)

// Types of the fields of an ErrorResponse that this package reads or writes.
const (
	fieldSeverity             byte = 'S'
	fieldSeverityNonlocalized byte = 'V' // the severity in English, whatever the locale
	fieldCode                 byte = 'C'
	fieldMessage              byte = 'M'
	fieldHint                 byte = 'H'
)

// sqlStateLength is the length of an error's code in bytes.
const sqlStateLength = 5

// Error is an ErrorResponse.
type Error struct {
	Severity string
	Code     string // SQLSTATE
	Message  string
	Hint     string // "": none
	// raw is the body as an engine sent it; Body returns it unchanged. It is nil for an error that this program
	// created.
	raw []byte
}

// Error returns the code and the message.
func (e *Error) Error() string { return e.Code + ": " + e.Message }

// Body returns the body of the ErrorResponse.
func (e *Error) Body() []byte {
	if e.raw != nil {
		return e.raw
	}
	var body []byte
	for _, field := range [...]struct {
		kind  byte
		value string
	}{
		{fieldSeverity, e.Severity},
		{fieldSeverityNonlocalized, e.Severity},
		{fieldCode, e.Code},
		{fieldMessage, e.Message},
		{fieldHint, e.Hint},
	} {
		if field.value != "" {
			body = append(body, field.kind)
			body = append(body, CString(field.value)...)
		}
	}
	return append(body, 0)
}

// ParseError reads the body of an ErrorResponse or a NoticeResponse.
func ParseError(body []byte) (*Error, error) {
	parsed := &Error{raw: bytes.Clone(body)}
	reader := Reader{Unread: body}
	for {
		kind := reader.Byte()
		if kind == 0 {
			break
		}
		parsed.setField(kind, reader.CString())
	}
	if !reader.Complete() || len(parsed.Code) != sqlStateLength {
		return nil, fmt.Errorf("%w: an error response", ErrMalformed)
	}
	return parsed, nil
}

// setField stores the value of a field that has a place in Error. Other fields are only kept in raw.
func (e *Error) setField(kind byte, value string) {
	switch kind {
	case fieldSeverity:
		e.Severity = value
	case fieldCode:
		e.Code = value
	case fieldMessage:
		e.Message = value
	case fieldHint:
		e.Hint = value
	}
}
