package pages

import (
	"go/ast"
	"go/parser"
	"go/token"
	"maps"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"testing"
)

const (
	configurationPage = "docs/configuration.md"
	configPackage     = "internal/config"
)

// keyTables maps the header of the first column of each table of keys in the configuration page to the type of
// internal/config that decodes these keys.
var keyTables = map[string]string{
	"configuration key": "platformObject",
	"settings key":      "settingsObject",
	"deploy key":        "Postgres",
	"shapes key":        "Shapes",
}

// separateTypes are listed in a separate table. If another type has a field of such a type, the keys below the field
// are not listed again.
var separateTypes = []string{"Settings", "Shapes"}

// keySet contains the keys of a file. A key begins with the keys of the objects that contain it: "a.b", or "a[].b" for
// the elements of a list.
type keySet struct {
	values  map[string]bool // keys of values
	parents map[string]bool // keys of objects and of lists of objects
}

// structTypes returns the struct types that the Go files of a directory declare, by name. Test files are skipped.
func structTypes(t *testing.T, directory string) map[string]*ast.StructType {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(directory, "*.go"))
	if err != nil {
		t.Fatal(err)
	}
	types := map[string]*ast.StructType{}
	for _, file := range files {
		if strings.HasSuffix(file, "_test.go") {
			continue
		}
		source, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		addStructTypes(t, types, string(source))
	}
	return types
}

// addStructTypes adds the struct types that a Go source declares.
func addStructTypes(t *testing.T, types map[string]*ast.StructType, source string) {
	t.Helper()
	parsed, err := parser.ParseFile(token.NewFileSet(), "", source, parser.SkipObjectResolution)
	if err != nil {
		t.Fatal(err)
	}
	ast.Inspect(parsed, func(node ast.Node) bool {
		if spec, isType := node.(*ast.TypeSpec); isType {
			if definition, isStruct := spec.Type.(*ast.StructType); isStruct {
				types[spec.Name.Name] = definition
			}
		}
		return true
	})
}

// keysOfType returns the keys that a struct type decodes.
func keysOfType(t *testing.T, types map[string]*ast.StructType, name string) keySet {
	t.Helper()
	keys := keySet{values: map[string]bool{}, parents: map[string]bool{}}
	if types[name] == nil {
		t.Fatalf("%s declares no struct type %s", configPackage, name)
	}
	keys.addFields(t, types, types[name], "")
	return keys
}

// addFields adds the keys of the fields of a struct type, each with the prefix before it.
func (s *keySet) addFields(
	t *testing.T, types map[string]*ast.StructType, definition *ast.StructType, prefix string,
) {
	t.Helper()
	for _, field := range definition.Fields.List {
		name := fieldKey(t, field)
		if name == "" {
			continue
		}
		key := prefix + name
		element := field.Type
		separator := "."
		if list, isList := element.(*ast.ArrayType); isList {
			element = list.Elt
			separator = "[]."
		}
		elementType := typeName(element)
		switch nested := types[elementType]; {
		case slices.Contains(separateTypes, elementType):
			s.parents[key] = true
		case nested != nil:
			s.parents[key] = true
			s.addFields(t, types, nested, key+separator)
		default:
			s.values[key] = true
		}
	}
}

// fieldKey returns the key of a field in JSON or TOML, or "" if it has none.
func fieldKey(t *testing.T, field *ast.Field) string {
	t.Helper()
	if field.Tag == nil {
		return ""
	}
	text, err := strconv.Unquote(field.Tag.Value)
	if err != nil {
		t.Fatal(err)
	}
	tag := reflect.StructTag(text)
	name := tag.Get("json") + tag.Get("toml")
	if name == "-" {
		return ""
	}
	return name
}

// firstColumnKeys returns the code spans in the first column of the tables in which this column has the header.
func firstColumnKeys(text, header string) map[string]bool {
	keys := map[string]bool{}
	hasHeader := false // whether the first column of the current table has the header
	isFirstRow := true
	for line := range strings.Lines(text) {
		line, isRow := strings.CutPrefix(strings.TrimSpace(line), "|")
		if !isRow {
			isFirstRow = true
			continue
		}
		cell, _, _ := strings.Cut(line, "|")
		if isFirstRow {
			hasHeader = strings.TrimSpace(cell) == header
			isFirstRow = false
		}
		if !hasHeader {
			continue
		}
		for _, match := range codeSpan.FindAllStringSubmatch(cell, -1) {
			keys[match[1]] = true
		}
	}
	return keys
}

// difference returns the keys that a page lacks, and the keys that the page lists but the code does not have.
func (s *keySet) difference(listed map[string]bool) (missing, unknown []string) {
	for _, key := range slices.Sorted(maps.Keys(s.values)) {
		if !listed[key] {
			missing = append(missing, key)
		}
	}
	for _, key := range slices.Sorted(maps.Keys(listed)) {
		if !s.values[key] && !s.parents[key] {
			unknown = append(unknown, key)
		}
	}
	return missing, unknown
}

// TestConfigurationPage_ListsTheKeysOfTheCode compares the tables of the page with the types that decode the files.
func TestConfigurationPage_ListsTheKeysOfTheCode(t *testing.T) {
	text, err := os.ReadFile(filepath.Join(repositoryRoot, configurationPage))
	if err != nil {
		t.Fatal(err)
	}
	types := structTypes(t, filepath.Join(repositoryRoot, configPackage))
	for header, decodedType := range keyTables {
		keys := keysOfType(t, types, decodedType)
		missing, unknown := keys.difference(firstColumnKeys(string(text), header))
		for _, key := range missing {
			t.Errorf("%s: the table with the column %q lacks %s", configurationPage, header, key)
		}
		for _, key := range unknown {
			t.Errorf("%s: the table with the column %q lists %s, which the code does not have",
				configurationPage, header, key)
		}
	}
}

// TestDifference_FindsMissingAndUnknownKeys runs the comparison on a page with known errors.
func TestDifference_FindsMissingAndUnknownKeys(t *testing.T) {
	const source = "package p\n\n" +
		"type file struct {\n" +
		"\tName string `json:\"name\"`\n" +
		"\tLimits limits `json:\"limits\"`\n" +
		"\tEngines []engine `json:\"engines\"`\n" +
		"\tSettings *Settings `json:\"settings\"`\n" +
		"\tPath string `toml:\"-\"`\n}\n\n" +
		"type limits struct {\n\tMemory int `json:\"memory_mb\"`\n\tSockets int `json:\"sockets\"`\n}\n\n" +
		"type engine struct {\n\tID string `toml:\"id\"`\n\tother int\n}\n\n" +
		"type Settings struct {\n\tZone string `json:\"zone\"`\n}\n"
	const text = "| key | meaning |\n| --- | --- |\n" +
		"| `name`, `engines` | |\n" +
		"| `limits.memory_mb` | `limits.sockets` |\n" +
		"| `engines.id` | |\n" +
		"| `settings` | |\n\n" +
		"| other | meaning |\n| --- | --- |\n| `limits.sockets` | |\n"
	types := map[string]*ast.StructType{}
	addStructTypes(t, types, source)
	keys := keysOfType(t, types, "file")
	missing, unknown := keys.difference(firstColumnKeys(text, "key"))
	if want := []string{"engines[].id", "limits.sockets"}; !slices.Equal(missing, want) {
		t.Errorf("missing keys %q, want %q", missing, want)
	}
	if want := []string{"engines.id"}; !slices.Equal(unknown, want) {
		t.Errorf("unknown keys %q, want %q", unknown, want)
	}
}
