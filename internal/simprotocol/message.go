package simprotocol

import (
	"encoding/json"
	"errors"
	"fmt"
)

var errEmptyArray = errors.New("malformed line: empty array")

// MessageError reports a field of a message that can't be used.
type MessageError struct {
	Message string // name of the message
	Field   string
	Problem string
}

func (e *MessageError) Error() string {
	return e.Message + ": " + e.Field + ": " + e.Problem
}

// field is the place of a value in a message, counted after the message's name, and the
// value's name in errors.
type field struct {
	index int
	name  string
}

// message is one line of input. Its reading methods return zero values once a field
// could not be used; err then holds the first such fault.
type message struct {
	name   string
	values []json.RawMessage
	err    error
}

// parseMessage reads a line, which is a JSON array that starts with the message's name.
func parseMessage(line []byte) (*message, error) {
	var elements []json.RawMessage
	if err := json.Unmarshal(line, &elements); err != nil {
		return nil, fmt.Errorf("malformed line: %w", err)
	}
	if len(elements) == 0 {
		return nil, errEmptyArray
	}
	var name string
	if err := json.Unmarshal(elements[0], &name); err != nil {
		return nil, fmt.Errorf("malformed line: message name: %w", err)
	}
	return &message{name: name, values: elements[1:]}, nil
}

// fail notes that a field can't be used, unless an earlier fault is noted.
func (m *message) fail(f field, format string, args ...any) {
	if m.err == nil {
		m.err = &MessageError{Message: m.name, Field: f.name, Problem: fmt.Sprintf(format, args...)}
	}
}

// present reports whether a value is there and not null.
func (m *message) present(f field) bool {
	return f.index < len(m.values) && string(m.values[f.index]) != "null"
}

// decode reads a value that must be present.
func (m *message) decode(f field, into any) {
	if !m.present(f) {
		m.fail(f, "missing")
		return
	}
	m.decodeOptional(f, into)
}

// decodeOptional reads a value, and leaves the target alone where none is present.
func (m *message) decodeOptional(f field, into any) {
	if !m.present(f) {
		return
	}
	if err := json.Unmarshal(m.values[f.index], into); err != nil {
		m.fail(f, "%v", err)
	}
}

func (m *message) float(f field) (value float64) {
	m.decode(f, &value)
	return value
}

func (m *message) integer(f field) (value int64) {
	m.decode(f, &value)
	return value
}

func (m *message) unsigned(f field) (value uint64) {
	m.decode(f, &value)
	return value
}

func (m *message) text(f field) (value string) {
	m.decode(f, &value)
	return value
}

func (m *message) flag(f field) (value bool) {
	m.decode(f, &value)
	return value
}
