package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/BurntSushi/toml"
)

// decodeTOML decodes TOML and reports unknown keys. If the text cannot be decoded, it reports the error
// and returns false.
func decodeTOML(v *validator, raw []byte, into any) bool {
	v.locate = func(field string) int { return tomlLine(raw, field) }
	metadata, err := toml.Decode(string(raw), into)
	if err != nil {
		v.fieldErrors = append(v.fieldErrors, tomlFieldError(v.file, err))
		return false
	}
	for _, key := range metadata.Undecoded() {
		v.report(key.String(), "there is no such field")
	}
	return true
}

// tomlFieldError converts an error of the TOML decoder to a FieldError.
func tomlFieldError(file string, err error) FieldError {
	var parseError toml.ParseError
	if !errors.As(err, &parseError) {
		return FieldError{File: file, Problem: err.Error()}
	}
	fieldError := FieldError{
		File:    file,
		Line:    parseError.Position.Line,
		Field:   parseError.LastKey,
		Problem: parseError.Message,
	}
	if fieldError.Problem == "" {
		fieldError.Problem = err.Error()
	}
	return fieldError
}

// decodeJSON decodes JSON. It also lets the validator look up the line of a field in the text.
func decodeJSON(v *validator, raw []byte, into any) error {
	v.locate = func(field string) int { return jsonLine(raw, field) }
	return json.Unmarshal(raw, into) //nolint:wrapcheck // jsonFieldError converts the error
}

// decodeSettings decodes the settings object. If it cannot be decoded, decodeSettings reports the
// error and returns false.
func decodeSettings(v *validator, raw []byte, into *Settings) bool {
	err := decodeJSON(v, raw, into)
	if err == nil {
		return true
	}
	fieldError := jsonFieldError(err)
	v.report(fieldError.Field, "%s", fieldError.Problem)
	return false
}

// decodePlatform decodes the platform's configuration, like decodeSettings.
func decodePlatform(v *validator, raw []byte, into *platformObject) bool {
	err := decodeJSON(v, raw, into)
	if err == nil {
		return true
	}
	if syntaxError, isSyntaxError := errors.AsType[*json.SyntaxError](err); isSyntaxError {
		line := lineAt(raw, syntaxError.Offset)
		v.fieldErrors = append(v.fieldErrors, FieldError{File: v.file, Line: line, Problem: err.Error()})
		return false
	}
	fieldError := jsonFieldError(err)
	v.report(platformField(raw, fieldError.Field), "%s", fieldError.Problem)
	return false
}

// platformField returns the path of an invalid field from the root of the platform's configuration. The
// decoder reports a field of the settings object with a path from the root of that object.
func platformField(raw []byte, field string) string {
	inSettings := settingsKey + "." + field
	if field != "" && jsonLine(raw, inSettings) > jsonLine(raw, settingsKey) {
		return inSettings
	}
	return field
}

// jsonFieldError converts an error of the JSON decoder to a FieldError without file and line.
func jsonFieldError(err error) FieldError {
	var typeError *json.UnmarshalTypeError
	var fieldError FieldError
	switch {
	case errors.As(err, &typeError):
		problem := fmt.Sprintf("a JSON %s is not allowed here", typeError.Value)
		return FieldError{Field: typeError.Field, Problem: problem}
	case errors.As(err, &fieldError):
		return fieldError
	}
	return FieldError{Problem: err.Error()}
}

// lineAt returns the line at a byte offset. Lines are counted from 1.
func lineAt(raw []byte, offset int64) int {
	end := min(int(offset), len(raw))
	return 1 + bytes.Count(raw[:end], []byte("\n"))
}
