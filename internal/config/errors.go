package config

import (
	"errors"
	"strconv"
	"strings"
)

// FieldError is an error in a configuration file.
type FieldError struct {
	File    string // path; "" if the text was not read from a file
	Line    int    // counted from 1; 0: unknown
	Field   string // path of the field in the file, such as statement[0].class; "": unknown
	Problem string // what is wrong and what is expected
}

// Error returns the file, line, field and problem, and omits what is unknown.
func (f FieldError) Error() string {
	var parts []string
	switch {
	case f.File != "" && f.Line > 0:
		parts = append(parts, f.File+":"+strconv.Itoa(f.Line))
	case f.File != "":
		parts = append(parts, f.File)
	}
	if f.Field != "" {
		parts = append(parts, f.Field)
	}
	parts = append(parts, f.Problem)
	return strings.Join(parts, ": ")
}

// FieldErrors are all errors in a file.
type FieldErrors []FieldError

// Error returns one line for each error.
func (f FieldErrors) Error() string {
	lines := make([]string, len(f))
	for i, fieldError := range f {
		lines[i] = fieldError.Error()
	}
	return strings.Join(lines, "\n")
}

// FieldErrorsOf returns the FieldErrors that an error wraps, or nil if the error is nil. Any other error
// becomes one FieldError without file, line and field.
func FieldErrorsOf(err error) FieldErrors {
	var fieldErrors FieldErrors
	var fieldError FieldError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &fieldErrors):
		return fieldErrors
	case errors.As(err, &fieldError):
		return FieldErrors{fieldError}
	}
	return FieldErrors{{Problem: err.Error()}}
}
