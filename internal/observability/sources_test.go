package observability

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
)

const repositoryRoot = "../.."

// servingDirectories hold the sources of the programs that serve requests.
var servingDirectories = []string{"cmd/flaxrelay", "cmd/simadapter", "internal", "policy"}

// labDirectory holds sources that are linked into no program that serves requests.
const labDirectory = "internal/lab"

// unknownPart stands for a part of a counter's name that the source computes.
const unknownPart = "*"

// openFields stands for fields of a log event that the source computes.
const openFields = "..."

// sourceFiles are the parsed sources of the programs that serve requests, without tests.
type sourceFiles []*ast.File

// parseServingSources parses the sources below servingDirectories.
func parseServingSources(t *testing.T) sourceFiles {
	t.Helper()
	var files sourceFiles
	for _, directory := range servingDirectories {
		err := filepath.WalkDir(filepath.Join(repositoryRoot, directory), func(path string, entry fs.DirEntry, err error) error {
			if err != nil {
				return err
			}
			if entry.IsDir() && path == filepath.Join(repositoryRoot, labDirectory) {
				return fs.SkipDir
			}
			if !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return nil
			}
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
			files = append(files, file)
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return files
}

// use is one place where a counter is counted or a log event is written.
type use struct {
	kind   string // "counter", or "event" and its level
	name   string
	fields []string // the keys of an event's fields
}

func (u use) String() string {
	return strings.Join(append([]string{u.kind, u.name}, u.fields...), " ")
}

// uses returns all counters and log events of the sources, in order of the files.
func (files sourceFiles) uses() []use {
	var found []use
	for _, file := range files {
		ast.Inspect(file, func(node ast.Node) bool {
			call, isCall := node.(*ast.CallExpr)
			if !isCall || len(call.Args) == 0 {
				return true
			}
			function, isMethod := call.Fun.(*ast.SelectorExpr)
			if !isMethod {
				return true
			}
			if u, isUse := files.useOf(call, lastName(function.X), function.Sel.Name); isUse {
				found = append(found, u)
			}
			return true
		})
	}
	return found
}

// useOf interprets a call of a method of the receiver, which is known by its name.
func (files sourceFiles) useOf(call *ast.CallExpr, receiver, method string) (use, bool) {
	switch receiver {
	case "counters", "Counters":
		if method == "Increment" || method == "Set" {
			return use{kind: "counter", name: files.counterName(call.Args[0])}, true
		}
	case "log", "logger", "Log", "Logger":
		level := strings.ToLower(method)
		if name, isLiteral := stringLiteral(call.Args[0]); isLiteral {
			return use{kind: "event " + level, name: name, fields: fieldsOf(call, call.Args[1:])}, true
		}
	}
	if name, isLiteral := stringLiteral(call.Args[0]); isLiteral && method == "trace" {
		return use{kind: "event debug", name: name, fields: append([]string{"request"}, fieldsOf(call, call.Args[2:])...)}, true
	}
	return use{}, false
}

// lastName returns the last name of an expression such as s.counters.
func lastName(expression ast.Expr) string {
	switch expression := expression.(type) {
	case *ast.Ident:
		return expression.Name
	case *ast.SelectorExpr:
		return expression.Sel.Name
	}
	return ""
}

func stringLiteral(expression ast.Expr) (string, bool) {
	literal, isLiteral := expression.(*ast.BasicLit)
	if !isLiteral || literal.Kind != token.STRING {
		return "", false
	}
	text, err := strconv.Unquote(literal.Value)
	return text, err == nil
}

// counterName returns the name of a counter, with unknownPart where the source computes a part.
func (files sourceFiles) counterName(expression ast.Expr) string {
	switch expression := expression.(type) {
	case *ast.BinaryExpr:
		return files.counterName(expression.X) + files.counterName(expression.Y)
	case *ast.Ident:
		if text, isConstant := files.constantNamed(expression.Name); isConstant {
			return text
		}
	}
	if text, isLiteral := stringLiteral(expression); isLiteral {
		return text
	}
	return unknownPart
}

// fieldsOf returns the keys of a log call's arguments, which alternate with the values.
func fieldsOf(call *ast.CallExpr, arguments []ast.Expr) []string {
	if call.Ellipsis.IsValid() {
		return []string{openFields}
	}
	var keys []string
	for i := 0; i < len(arguments); i += 2 {
		key, isLiteral := stringLiteral(arguments[i])
		if !isLiteral {
			key = openFields
		}
		keys = append(keys, key)
	}
	return keys
}

// constantNamed returns the value of the constant of that name whose value is a string.
func (files sourceFiles) constantNamed(name string) (value string, found bool) {
	files.eachValueSpec(func(constants *ast.ValueSpec) {
		if len(constants.Values) == 1 && constants.Names[0].Name == name {
			text, isLiteral := stringLiteral(constants.Values[0])
			if isLiteral {
				value = text
				found = true
			}
		}
	})
	return value, found
}

// constantsOfType returns the values of all constants of a string type, which is known by its
// name.
func (files sourceFiles) constantsOfType(name string) []string {
	var values []string
	files.eachValueSpec(func(constants *ast.ValueSpec) {
		if lastName(constants.Type) != name {
			return
		}
		for _, expression := range constants.Values {
			if text, isLiteral := stringLiteral(expression); isLiteral {
				values = append(values, text)
			}
		}
	})
	slices.Sort(values)
	return values
}

// eachValueSpec visits the declarations of constants and variables.
func (files sourceFiles) eachValueSpec(visit func(*ast.ValueSpec)) {
	for _, file := range files {
		ast.Inspect(file, func(node ast.Node) bool {
			if spec, isSpec := node.(*ast.ValueSpec); isSpec {
				visit(spec)
			}
			return true
		})
	}
}
