package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
)

// jsonLine returns the line of a field like known.batch[0].topology. Lines are counted from 1. If the
// field is missing, jsonLine returns the line of the innermost object or list on its path that exists, or
// 0 if none exists. The text may be malformed after the field.
func jsonLine(raw []byte, field string) int {
	locator := &jsonLocator{
		raw:     raw,
		decoder: json.NewDecoder(bytes.NewReader(raw)),
		field:   field,
		matched: noMatch,
	}
	// An error ends the walk early. The line that was found before the error is still correct.
	_ = locator.walkValue("")
	return locator.line
}

// jsonLocator walks a JSON document to find the line of a field.
type jsonLocator struct {
	raw     []byte
	decoder *json.Decoder
	field   string
	line    int // line of the longest path so far that leads to the field; 0 if no path does
	matched int // length of that path in bytes, or noMatch
}

// noMatch is less than the length of any path.
const noMatch = -1

// visit records the line of a path if the path leads to the field and is the longest such path so far.
func (l *jsonLocator) visit(path string) {
	if len(path) > l.matched && leadsTo(path, l.field) {
		l.line = lineAt(l.raw, l.decoder.InputOffset())
		l.matched = len(path)
	}
}

// leadsTo reports whether the path is the path of the field, or of an object or list that contains the
// field.
func leadsTo(path, field string) bool {
	rest, isPrefix := strings.CutPrefix(field, path)
	return isPrefix && (rest == "" || rest[0] == '.' || rest[0] == '[')
}

// nextToken returns the next token. It returns an error at the end of the text or at a syntax error.
func (l *jsonLocator) nextToken() (json.Token, error) {
	token, err := l.decoder.Token()
	if err != nil {
		return nil, fmt.Errorf("read a token: %w", err)
	}
	return token, nil
}

// walkValue reads one value and all values inside it.
func (l *jsonLocator) walkValue(path string) error {
	token, err := l.nextToken()
	if err != nil {
		return err
	}
	switch token {
	case json.Delim('{'):
		err = l.walkObject(path)
	case json.Delim('['):
		err = l.walkArray(path)
	default:
		return nil
	}
	if err != nil {
		return err
	}
	_, err = l.nextToken() // the closing delimiter
	return err
}

func (l *jsonLocator) walkObject(path string) error {
	for l.decoder.More() {
		token, err := l.nextToken()
		if err != nil {
			return err
		}
		key, _ := token.(string) // the decoder accepts only strings as keys
		if path != "" {
			key = path + "." + key
		}
		l.visit(key)
		if err := l.walkValue(key); err != nil {
			return err
		}
	}
	return nil
}

func (l *jsonLocator) walkArray(path string) error {
	for i := 0; l.decoder.More(); i++ {
		element := fmt.Sprintf("%s[%d]", path, i)
		l.visit(element)
		if err := l.walkValue(element); err != nil {
			return err
		}
	}
	return nil
}
