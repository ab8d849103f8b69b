package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
)

// tomlField is the place of a field in a TOML document.
type tomlField struct {
	path  string // as the fault names it, as in statement[1].class
	table string // "" for the top level
	index int    // of the table in its array; 0 for a single table
	key   string
}

// parseTOMLField splits a path like statement[1].class. The index of a list
// element is dropped, as such lists stand on one line.
func parseTOMLField(path string) tomlField {
	field := tomlField{path: path, key: path}
	if i := strings.LastIndexByte(path, '.'); i >= 0 {
		field.table, field.key = path[:i], path[i+1:]
	}
	field.key, _, _ = strings.Cut(field.key, "[")
	if i := strings.LastIndexByte(field.table, '['); i >= 0 {
		field.index, _ = strconv.Atoi(strings.TrimSuffix(field.table[i+1:], "]"))
		field.table = field.table[:i]
	}
	return field
}

// tomlLine returns the line, from 1, of a field in tables and arrays of tables. For a
// missing field that is the line of its table, or 0 where there is no such table.
func tomlLine(raw []byte, path string) int {
	field := parseTOMLField(path)
	table, index := "", 0
	tableLine := 0
	seen := map[string]int{} // how many tables of an array there were
	for i, line := range strings.Split(string(raw), "\n") {
		text := strings.TrimSpace(line)
		switch {
		case strings.HasPrefix(text, "[["):
			table = tomlHeader(text)
			index = seen[table]
			seen[table]++
		case strings.HasPrefix(text, "["):
			table, index = tomlHeader(text), 0
		default:
			inTable := field.table == table && (table == "" || field.index == index)
			if key, ok := tomlKey(text); ok && inTable && key == field.key {
				return i + 1
			}
			continue
		}
		if table == field.table && index == field.index || table == field.path {
			tableLine = i + 1
		}
	}
	return tableLine
}

// tomlHeader returns the name in a line like [name] or [[name]].
func tomlHeader(line string) string {
	header, _, _ := strings.Cut(line, "#")
	return strings.TrimSpace(strings.Trim(header, "[] \t"))
}

// tomlKey returns the key that a line assigns to, if it assigns at all.
func tomlKey(line string) (key string, ok bool) {
	key, _, ok = strings.Cut(line, "=")
	return strings.Trim(strings.TrimSpace(key), `"'`), ok
}

// jsonLine returns the line, from 1, of a field like known.batch[0].topology. For a
// missing field that is the line of the innermost object or list it is missing in, or 0.
// The text may be malformed past the field.
func jsonLine(raw []byte, field string) int {
	locator := &jsonLocator{raw: raw, decoder: json.NewDecoder(bytes.NewReader(raw)), field: field, matched: noMatch}
	// An error ends the walk early; what was found up to there holds.
	_ = locator.walkValue("")
	return locator.line
}

// jsonLocator walks a JSON document for the line of a field.
type jsonLocator struct {
	raw     []byte
	decoder *json.Decoder
	field   string
	line    int // of the longest path so far that leads to the field
	matched int // length of that path, or noMatch
}

// noMatch is less than the length of any path.
const noMatch = -1

// visit notes the line of a path if it leads further to the field than those before it.
func (l *jsonLocator) visit(path string) {
	if len(path) > l.matched && leadsTo(path, l.field) {
		l.line, l.matched = lineAt(l.raw, l.decoder.InputOffset()), len(path)
	}
}

// leadsTo reports whether the path is that of the field or of something it is in.
func leadsTo(path, field string) bool {
	rest, ok := strings.CutPrefix(field, path)
	return ok && (rest == "" || rest[0] == '.' || rest[0] == '[')
}

// walkValue reads one value and whatever is in it.
func (l *jsonLocator) walkValue(path string) error {
	token, err := l.decoder.Token()
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
	_, err = l.decoder.Token() // the closing delimiter
	return err
}

func (l *jsonLocator) walkObject(path string) error {
	for l.decoder.More() {
		token, err := l.decoder.Token()
		if err != nil {
			return err
		}
		key, _ := token.(string) // the decoder takes nothing else for a key
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
