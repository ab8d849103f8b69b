package observability

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"flaxrelay/internal/logevent"
)

const repositoryRoot = "../.."

// servingDirectories contain the sources of the programs that serve requests, and of simadapter, which runs
// the same balancer for a simulator.
var servingDirectories = []string{"cmd/flaxrelay", "cmd/simadapter", "internal", "policy"}

// labDirectory contains sources that are not linked into the programs that serve requests.
const labDirectory = "internal/lab"

// sourceFiles are the parsed sources of the programs that serve requests, without tests.
type sourceFiles []*ast.File

// parseServingSources parses the sources below servingDirectories.
func parseServingSources(t *testing.T) sourceFiles {
	t.Helper()
	var files sourceFiles
	for _, directory := range servingDirectories {
		root := filepath.Join(repositoryRoot, directory)
		err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
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
			if err != nil {
				return fmt.Errorf("parse a source: %w", err)
			}
			files = append(files, file)
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return files
}

// TestSources_UseEachDeclaration fails if a declared counter is never counted, or a declared event is
// never logged.
func TestSources_UseEachDeclaration(t *testing.T) {
	sources := parseServingSources(t)
	used := map[string]bool{}
	for _, file := range sources {
		ast.Inspect(file, func(node ast.Node) bool {
			if selector, isSelector := node.(*ast.SelectorExpr); isSelector {
				used[lastName(selector.X)+"."+selector.Sel.Name] = true
			}
			return true
		})
	}
	for _, catalog := range []string{"metrics", "logevent"} {
		variables := sources.declaredVariables(catalog)
		if len(variables) == 0 {
			t.Errorf("no declarations are found in %s", catalog)
		}
		for variable, name := range variables {
			if !used[catalog+"."+variable] {
				t.Errorf("%s.%s (%s) is not used", catalog, variable, name)
			}
		}
	}
}

// TestSources_LogOnlyDeclaredEvents fails if a package other than logevent calls a logger.
func TestSources_LogOnlyDeclaredEvents(t *testing.T) {
	loggers := []string{"log", "logger", "slog"}
	methods := []string{"Debug", "Info", "Warn", "Error", "Log", "LogAttrs"}
	for _, file := range parseServingSources(t) {
		if file.Name.Name == "logevent" {
			continue
		}
		ast.Inspect(file, func(node ast.Node) bool {
			method, isSelector := node.(*ast.SelectorExpr)
			if isSelector && slices.Contains(loggers, strings.ToLower(lastName(method.X))) &&
				slices.Contains(methods, method.Sel.Name) {
				t.Errorf("package %s calls %s of a logger", file.Name.Name, method.Sel.Name)
			}
			return true
		})
	}
}

// TestSources_LogTheDeclaredFields fails if an event is logged with a field that its declaration does
// not have.
func TestSources_LogTheDeclaredFields(t *testing.T) {
	sources := parseServingSources(t)
	variables := sources.declaredVariables("logevent")
	fields := map[string][]string{}
	for _, event := range logevent.Catalog() {
		fields[event.Name] = event.Fields
	}
	calls := 0
	for _, file := range sources {
		ast.Inspect(file, func(node ast.Node) bool {
			call, isCall := node.(*ast.CallExpr)
			if !isCall {
				return true
			}
			variable, isEvent := loggedEvent(call)
			if !isEvent {
				return true
			}
			calls++
			event := variables[variable]
			for _, key := range attributeKeys(call.Args) {
				if !slices.Contains(fields[event], key) {
					t.Errorf("%s is logged with the field %s, which is not declared", event, key)
				}
			}
			return true
		})
	}
	if calls == 0 {
		t.Error("no call logs an event")
	}
}

// loggedEvent returns the variable of package logevent that a call logs. The variable is the receiver of Log,
// or an argument of a function that logs it. A call of invariant.Checker logs InvariantViolated.
func loggedEvent(call *ast.CallExpr) (variable string, isEvent bool) {
	candidates := slices.Clone(call.Args)
	if method, isMethod := call.Fun.(*ast.SelectorExpr); isMethod {
		if method.Sel.Name == "Check" && strings.EqualFold(lastName(method.X), "invariants") {
			return "InvariantViolated", true
		}
		candidates = append(candidates, method.X)
	}
	for _, candidate := range candidates {
		selector, isSelector := candidate.(*ast.SelectorExpr)
		if isSelector && lastName(selector.X) == "logevent" {
			return selector.Sel.Name, true
		}
	}
	return "", false
}

// attributeKeys returns the keys of the arguments that call attribute constructors of slog, such as slog.String.
func attributeKeys(arguments []ast.Expr) []string {
	var keys []string
	for _, argument := range arguments {
		constructor, isCall := argument.(*ast.CallExpr)
		if !isCall || len(constructor.Args) == 0 {
			continue
		}
		function, isSelector := constructor.Fun.(*ast.SelectorExpr)
		if !isSelector || lastName(function.X) != "slog" {
			continue
		}
		if key, isLiteral := stringLiteral(constructor.Args[0]); isLiteral {
			keys = append(keys, key)
		}
	}
	return keys
}

// declaredVariables returns the counters or events that a package's catalog declares. The map's keys are
// the names of the Go variables, and its values are the names of the counters or events.
func (files sourceFiles) declaredVariables(packageName string) map[string]string {
	variables := map[string]string{}
	for _, file := range files {
		if file.Name.Name != packageName {
			continue
		}
		sourceFiles{file}.eachValueSpec(func(spec *ast.ValueSpec) {
			if len(spec.Values) != 1 {
				return
			}
			declaration, isCall := spec.Values[0].(*ast.CallExpr)
			if !isCall || !strings.HasPrefix(lastName(declaration.Fun), "declare") {
				return
			}
			if name, isLiteral := stringLiteral(declaration.Args[0]); isLiteral {
				variables[spec.Names[0].Name] = name
			}
		})
	}
	return variables
}

// lastName returns the last name of an expression such as s.counters or s.dispatcher.Invariants().
func lastName(expression ast.Expr) string {
	switch expression := expression.(type) {
	case *ast.Ident:
		return expression.Name
	case *ast.SelectorExpr:
		return expression.Sel.Name
	case *ast.CallExpr:
		return lastName(expression.Fun)
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

// constantsOfType returns the sorted values of all constants of the string type with the given name.
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
