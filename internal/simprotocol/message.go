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

// messageName is the name of a message, as the protocol spells it.
type messageName string

// inputMessage is one line of input. Once a field could not be used, err holds that first
// fault, and the values of fields are no longer meaningful.
type inputMessage struct {
	name   messageName
	values []json.RawMessage
	err    error
}

// parseMessage parses a line, which is a JSON array that starts with the message's name.
func parseMessage(line []byte) (*inputMessage, error) {
	var elements []json.RawMessage
	if err := json.Unmarshal(line, &elements); err != nil {
		return nil, fmt.Errorf("malformed line: %w", err)
	}
	if len(elements) == 0 {
		return nil, errEmptyArray
	}
	var name messageName
	if err := json.Unmarshal(elements[0], &name); err != nil {
		return nil, fmt.Errorf("malformed line: message name: %w", err)
	}
	return &inputMessage{name: name, values: elements[1:]}, nil
}

// fail sets the message's error, unless an earlier fault is set. field is the field's name in errors.
func (m *inputMessage) fail(field, format string, args ...any) {
	if m.err == nil {
		m.err = &MessageError{Message: string(m.name), Field: field, Problem: fmt.Sprintf(format, args...)}
	}
}

// field is the place of a value in a message, counted after the message's name, and the value's name
// in errors. The type parameter is the type of the value.
type field[T any] struct {
	index int
	name  string
}

// present reports whether the value is there and not null.
func (f field[T]) present(message *inputMessage) bool {
	return f.index < len(message.values) && string(message.values[f.index]) != "null"
}

// required returns a value that must be present.
func (f field[T]) required(message *inputMessage) (value T) {
	if !f.present(message) {
		message.fail(f.name, "missing")
		return value
	}
	return f.optional(message)
}

// optional returns a value, or the zero value where none is present.
func (f field[T]) optional(message *inputMessage) (value T) {
	if !f.present(message) {
		return value
	}
	if err := json.Unmarshal(message.values[f.index], &value); err != nil {
		message.fail(f.name, "%v", err)
	}
	return value
}
