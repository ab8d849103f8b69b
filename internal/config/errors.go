package config

import (
	"errors"
	"strconv"
	"strings"
)

// FieldError is one thing that is wrong with a file of settings.
type FieldError struct {
	File    string // empty where the text did not come from a file
	Line    int    // from 1; 0: the field is missing or its place is not known
	Field   string // as in statement[0].class
	Problem string // what is wrong with it, and what is wanted
}

// Error returns the place, the field and the problem, without what is not known.
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

// FieldErrors are all faults that one pass over a file found.
type FieldErrors []FieldError

// Error returns one line for each fault.
func (f FieldErrors) Error() string {
	lines := make([]string, len(f))
	for i, one := range f {
		lines[i] = one.Error()
	}
	return strings.Join(lines, "\n")
}

// FieldErrorsOf returns the faults that an error reports. An error without any counts as
// one fault of no known place.
func FieldErrorsOf(err error) FieldErrors {
	var all FieldErrors
	var one FieldError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &all):
		return all
	case errors.As(err, &one):
		return FieldErrors{one}
	}
	return FieldErrors{{Problem: err.Error()}}
}
