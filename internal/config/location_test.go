package config

import "testing"

// The name of a key is the number of its line, except in the second table of the array [[four]].
const (
	tomlDocument = `one = 1
[two]
three = 3
[[four]] # first
five = 5
[[four]] # second
"six" = 6
`
	jsonDocument = `{
"two": {
"three": 3},
"four": [
{"five": 5},
{"six": 6}
]
}`
)

func TestTOMLLine_ReturnsTheLineOfAFieldOrOfItsTable(t *testing.T) {
	for path, want := range map[string]int{
		"one":          1,
		"one[3]":       1,
		"two.three":    3,
		"two":          2,
		"two.missing":  2,
		"four[0].five": 5,
		"four[1].six":  7,
		"four[1].five": 6,
		"four[2].five": 0,
		"missing":      0,
		"missing.five": 0,
	} {
		if got := tomlLine([]byte(tomlDocument), path); got != want {
			t.Errorf("%s: line %d, want %d", path, got, want)
		}
	}
}

func TestJSONLine_ReturnsTheLineOfAFieldOrOfItsObject(t *testing.T) {
	for path, want := range map[string]int{
		"two":          2,
		"two.three":    3,
		"two.missing":  2,
		"four":         4,
		"four[0].five": 5,
		"four[1].six":  6,
		"twofold":      0,
		"missing":      0,
		"":             0,
	} {
		if got := jsonLine([]byte(jsonDocument), path); got != want {
			t.Errorf("%s: line %d, want %d", path, got, want)
		}
	}
}

func TestJSONLine_ReturnsTheLineOfAFieldBeforeASyntaxError(t *testing.T) {
	malformed := []byte(jsonDocument[:len(jsonDocument)/2])
	if got := jsonLine(malformed, "two.three"); got != 3 {
		t.Errorf("line %d, want 3", got)
	}
}
