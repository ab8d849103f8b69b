package pages

import (
	"go/scanner"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

const (
	glossaryPage = "docs/glossary.md"
	keyColumn    = "key or field" // the header of the glossary's column of settings keys and wire fields
)

// keyDirectories contain the code that reads and writes settings, deploy files and the messages of all protocols.
var keyDirectories = []string{
	"cmd/flaxrelay", "internal/config", "internal/discovery", "internal/engine", "internal/frontend",
	"internal/simprotocol",
}

// keyWord matches a settings key without its parents, or a field of a message.
var keyWord = regexp.MustCompile(`[\w-]+`)

// glossaryKeys returns the code spans in the glossary's column of keys.
func glossaryKeys(glossary string) []string {
	var keys []string
	column := -1 // index of the key column in the current table; -1 if it has none
	for line := range strings.Lines(glossary) {
		line = strings.TrimSpace(line)
		if !strings.HasPrefix(line, "|") {
			column = -1
			continue
		}
		cells := strings.Split(strings.Trim(line, "|"), "|")
		for i := range cells {
			cells[i] = strings.TrimSpace(cells[i])
		}
		if column < 0 {
			column = slices.Index(cells, keyColumn)
			continue
		}
		if column >= len(cells) {
			continue
		}
		for _, match := range codeSpan.FindAllStringSubmatch(cells[column], -1) {
			keys = append(keys, match[1])
		}
	}
	return keys
}

// unknownKeys returns the keys that contain a word that is not in words. The words are in lower case.
func unknownKeys(keys []string, words map[string]bool) []string {
	var unknown []string
	for _, key := range keys {
		isMissing := func(part string) bool { return !words[strings.ToLower(part)] }
		if slices.ContainsFunc(keyWord.FindAllString(key, -1), isMissing) {
			unknown = append(unknown, key)
		}
	}
	return unknown
}

// addLiteralWords adds the words of all string literals of a Go source, which include struct tags, in lower case.
func addLiteralWords(words map[string]bool, source []byte) {
	var tokens scanner.Scanner
	file := token.NewFileSet().AddFile("", -1, len(source))
	tokens.Init(file, source, nil, 0)
	for {
		_, kind, literal := tokens.Scan()
		if kind == token.EOF {
			return
		}
		if kind != token.STRING {
			continue
		}
		for _, word := range keyWord.FindAllString(literal, -1) {
			words[strings.ToLower(word)] = true
		}
	}
}

// readKeyWords returns the words of the string literals in keyDirectories. Test files are skipped.
func readKeyWords(t *testing.T) map[string]bool {
	t.Helper()
	words := map[string]bool{}
	for _, directory := range keyDirectories {
		root := filepath.Join(repositoryRoot, directory)
		err := filepath.WalkDir(root, func(file string, _ fs.DirEntry, err error) error {
			if err != nil || filepath.Ext(file) != ".go" || strings.HasSuffix(file, "_test.go") {
				return err
			}
			source, err := os.ReadFile(file)
			if err != nil {
				return err
			}
			addLiteralWords(words, source)
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return words
}

// TestGlossary_NamesKeysOfTheCode checks that the code has each settings key and wire field of the glossary.
func TestGlossary_NamesKeysOfTheCode(t *testing.T) {
	glossary, err := os.ReadFile(filepath.Join(repositoryRoot, glossaryPage))
	if err != nil {
		t.Fatal(err)
	}
	keys := glossaryKeys(string(glossary))
	if len(keys) == 0 {
		t.Fatalf("%s has no table with the column %q", glossaryPage, keyColumn)
	}
	for _, key := range unknownKeys(keys, readKeyWords(t)) {
		t.Errorf("%s: the code has no settings key or wire field %s", glossaryPage, key)
	}
}

// TestUnknownKeys_FindsKeysThatTheCodeLacks runs the check on a glossary with known errors.
func TestUnknownKeys_FindsKeysThatTheCodeLacks(t *testing.T) {
	const source = "package p\n\n" +
		"type object struct {\n\tContract struct{} `json:\"contract\"`\n\tWarmup float64 `json:\"cold-ms\"`\n}\n\n" +
		"const field = \"req-id\" // not \"a-comment\"\n"
	const glossary = "| term | key or field |\n| --- | --- |\n" +
		"| warm-up time | `contract.cold-ms` |\n| id | `Req-Id`; engine: `identity` |\n| none | |\n" +
		"| window | `contract.fall_ms`, `a-comment` |\n\n" +
		"| term | meaning |\n| --- | --- |\n| other | `not-a-key` |\n"
	words := map[string]bool{}
	addLiteralWords(words, []byte(source))
	keys := glossaryKeys(glossary)
	wantKeys := []string{"contract.cold-ms", "Req-Id", "identity", "contract.fall_ms", "a-comment"}
	if !slices.Equal(keys, wantKeys) {
		t.Errorf("keys %q, want %q", keys, wantKeys)
	}
	want := []string{"identity", "contract.fall_ms", "a-comment"}
	if got := unknownKeys(keys, words); !slices.Equal(got, want) {
		t.Errorf("unknown keys %q, want %q", got, want)
	}
}
