package simprotocol

import (
	"encoding/json"
	"errors"
	"fmt"
)

var errEmptyArray = errors.New("malformed line: empty array")

// MessageError reports an invalid field of a message.
type MessageError struct {
	Message string // name of the message
	Field   string // name of the field
	Problem string
}

// Error implements error.
func (e *MessageError) Error() string {
	return e.Message + ": " + e.Field + ": " + e.Problem
}

// messageName is the name of a message, as the protocol spells it.
type messageName string

// inputMessage is one line of input. Its fields are decoded without an error check after each of them.
// err is the first error; if err is not nil, the decoded values must not be used.
type inputMessage struct {
	name   messageName
	values []json.RawMessage // the elements of the line after the name
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

// fail sets the message's error, unless it is already set. field is the name of the field in the error.
func (m *inputMessage) fail(field, format string, args ...any) {
	if m.err == nil {
		m.err = &MessageError{Message: string(m.name), Field: field, Problem: fmt.Sprintf(format, args...)}
	}
}

// field describes a value of type T in a message.
type field[T any] struct {
	index int    // index of the value in inputMessage.values
	name  string // name of the value in errors
}

// present reports whether the message contains the value and the value is not null.
func (f field[T]) present(message *inputMessage) bool {
	return f.index < len(message.values) && string(message.values[f.index]) != "null"
}

// required returns the value. If the value is not present, the message fails.
func (f field[T]) required(message *inputMessage) (value T) {
	if !f.present(message) {
		message.fail(f.name, "missing")
		return value
	}
	return f.optional(message)
}

// optional returns the value, or the zero value if it is not present.
func (f field[T]) optional(message *inputMessage) (value T) {
	if !f.present(message) {
		return value
	}
	if err := json.Unmarshal(message.values[f.index], &value); err != nil {
		message.fail(f.name, "%v", err)
	}
	return value
}
