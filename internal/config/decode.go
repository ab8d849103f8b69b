package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/BurntSushi/toml"
)

// decodeTOML reads TOML strictly: an unknown field is a fault. It reports whether the
// text could be decoded at all.
func decodeTOML(v *validator, raw []byte, into any) bool {
	v.locate = func(field string) int { return tomlLine(raw, field) }
	metadata, err := toml.Decode(string(raw), into)
	if err != nil {
		v.faults = append(v.faults, tomlFault(v.file, err))
		return false
	}
	for _, key := range metadata.Undecoded() {
		v.report(key.String(), "there is no such field")
	}
	return true
}

// tomlFault returns the fault that an error of decoding TOML reports.
func tomlFault(file string, err error) FieldError {
	var parseError toml.ParseError
	if !errors.As(err, &parseError) {
		return FieldError{File: file, Problem: err.Error()}
	}
	fault := FieldError{File: file, Line: parseError.Position.Line, Field: parseError.LastKey, Problem: parseError.Message}
	if fault.Problem == "" {
		fault.Problem = err.Error()
	}
	return fault
}

// decodeSettings reads the settings object. It reports whether that could be decoded,
// and adds the fault of the field that could not.
func decodeSettings(v *validator, raw []byte, into *Settings) bool {
	v.locate = func(field string) int { return jsonLine(raw, field) }
	err := json.Unmarshal(raw, into)
	if err == nil {
		return true
	}
	fault := jsonFault(err)
	v.report(fault.Field, "%s", fault.Problem)
	return false
}

// decodePlatform reads the platform's configuration, like decodeSettings.
func decodePlatform(v *validator, raw []byte, into *platformObject) bool {
	v.locate = func(field string) int { return jsonLine(raw, field) }
	err := json.Unmarshal(raw, into)
	if err == nil {
		return true
	}
	fault := jsonFault(err)
	field := fault.Field
	// A fault that the settings object found names its field from there.
	inSettings := settingsKey + "." + field
	if field != "" && jsonLine(raw, inSettings) > jsonLine(raw, settingsKey) {
		field = inSettings
	}
	v.report(field, "%s", fault.Problem)
	var syntaxError *json.SyntaxError
	if errors.As(err, &syntaxError) {
		v.faults[0].Line = lineAt(raw, syntaxError.Offset)
	}
	return false
}

// jsonFault returns the field and the problem that an error of decoding JSON reports.
func jsonFault(err error) FieldError {
	var typeError *json.UnmarshalTypeError
	var fieldError FieldError
	switch {
	case errors.As(err, &typeError):
		return FieldError{Field: typeError.Field, Problem: fmt.Sprintf("a %s does not fit", typeError.Value)}
	case errors.As(err, &fieldError):
		return fieldError
	}
	return FieldError{Problem: err.Error()}
}

// lineAt returns the line, from 1, of a byte offset.
func lineAt(raw []byte, offset int64) int {
	end := min(int(offset), len(raw))
	return 1 + bytes.Count(raw[:end], []byte("\n"))
}
