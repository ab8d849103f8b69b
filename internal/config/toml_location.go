package config

import (
	"strconv"
	"strings"
)

// tomlField is the location of a field in a TOML document.
type tomlField struct {
	path  string // such as statement[1].class
	table string // "" for the top level
	index int    // index of the table in its array; 0 for a single table
	key   string
}

// parseTOMLField splits a path like statement[1].class. The index of an element in a list of plain
// values is dropped, because tomlLine returns the line of the key for all elements.
func parseTOMLField(path string) tomlField {
	field := tomlField{path: path, key: path}
	if dot := strings.LastIndexByte(path, '.'); dot >= 0 {
		field.table = path[:dot]
		field.key = path[dot+1:]
	}
	field.key, _, _ = strings.Cut(field.key, "[")
	if bracket := strings.LastIndexByte(field.table, '['); bracket >= 0 {
		field.index, _ = strconv.Atoi(strings.TrimSuffix(field.table[bracket+1:], "]"))
		field.table = field.table[:bracket]
	}
	return field
}

// tomlLine returns the line of a field in tables and arrays of tables. Lines are counted from 1. If the
// field is missing, tomlLine returns the line of its table, or 0 if the table is missing too.
func tomlLine(raw []byte, path string) int {
	field := parseTOMLField(path)
	position := tomlPosition{seen: map[string]int{}}
	tableLine := 0
	for i, line := range strings.Split(string(raw), "\n") {
		text := strings.TrimSpace(line)
		if strings.HasPrefix(text, "[") {
			position.enterTable(text)
			if position.isTableOf(field) {
				tableLine = i + 1
			}
			continue
		}
		key, isAssignment := tomlKey(text)
		if isAssignment && key == field.key && position.contains(field) {
			return i + 1
		}
	}
	return tableLine
}

// tomlPosition is the table of the current line while a TOML document is read line by line.
type tomlPosition struct {
	table string         // "" before the first table
	index int            // index of the table in its array; 0 for a single table
	seen  map[string]int // number of tables so far in each array
}

// enterTable moves the position into the table that starts at a line like [name] or [[name]].
func (p *tomlPosition) enterTable(header string) {
	p.table = tomlHeader(header)
	p.index = 0
	if strings.HasPrefix(header, "[[") {
		p.index = p.seen[p.table]
		p.seen[p.table]++
	}
}

// isTableOf reports whether the field is in the current table, or is the table itself.
func (p *tomlPosition) isTableOf(field tomlField) bool {
	return p.contains(field) || p.table == field.path
}

// contains reports whether the field is in the current table.
func (p *tomlPosition) contains(field tomlField) bool {
	return p.table == field.table && p.index == field.index
}

// tomlHeader returns the name in a line like [name] or [[name]].
func tomlHeader(line string) string {
	header, _, _ := strings.Cut(line, "#")
	return strings.TrimSpace(strings.Trim(header, "[] \t"))
}

// tomlKey returns the key that a line assigns a value to, and whether the line is an assignment.
func tomlKey(line string) (key string, isAssignment bool) {
	key, _, isAssignment = strings.Cut(line, "=")
	return strings.Trim(strings.TrimSpace(key), `"'`), isAssignment
}
