package config

import (
	"fmt"
	"net"
	"strconv"
)

// validator collects the errors in one file.
type validator struct {
	file        string
	locate      func(field string) int // returns the line of a field; nil if lines are unknown
	fieldErrors FieldErrors
}

// report adds an error of a field.
func (v *validator) report(field, format string, args ...any) {
	fieldError := FieldError{File: v.file, Field: field, Problem: fmt.Sprintf(format, args...)}
	if v.locate != nil {
		fieldError.Line = v.locate(field)
	}
	v.fieldErrors = append(v.fieldErrors, fieldError)
}

// require reports an error of a field if the condition is false.
func (v *validator) require(condition bool, field, format string, args ...any) {
	if !condition {
		v.report(field, format, args...)
	}
}

// requireAddress reports an error of a field unless its value has the form HOST:PORT.
func (v *validator) requireAddress(field, address string) {
	if err := checkAddress(address); err != nil {
		v.report(field, "%v; expected HOST:PORT", err)
	}
}

// requireOptionalAddress is like requireAddress, but the value may be missing.
func (v *validator) requireOptionalAddress(field, address string) {
	if address != "" {
		v.requireAddress(field, address)
	}
}

// err returns the collected errors, or nil if there are none.
func (v *validator) err() error {
	if len(v.fieldErrors) == 0 {
		return nil
	}
	return v.fieldErrors
}

// portError is the error of an address whose port is a service name or out of range.
type portError struct{ address string }

func (e *portError) Error() string {
	return fmt.Sprintf("%q: the port is not a number up to 65535", e.address)
}

// checkAddress returns an error unless the address has the form HOST:PORT.
func checkAddress(address string) error {
	_, port, err := net.SplitHostPort(address)
	if err != nil {
		return err
	}
	if _, err := strconv.ParseUint(port, 10, 16); err != nil {
		return &portError{address: address}
	}
	return nil
}
