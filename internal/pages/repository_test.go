package pages

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

const repositoryRoot = "../.."

// skippedDirectories contain neither sources nor pages: the files of Git, the output of builds and test runs, and the
// journal.
var skippedDirectories = []string{".git", "bin", "found", "journal", "logs"}

var (
	testFunction = regexp.MustCompile(`(?m)^func ((?:Test|Fuzz|Benchmark)\w+)\(`)
	heading      = regexp.MustCompile(`(?m)^#+ (.+)$`)
)

// repository contains everything that pages may refer to. Paths are relative to the root of the repository and
// separated by slashes.
type repository struct {
	paths          map[string]bool            // files and directories
	directoryNames map[string]bool            // the last elements of the paths of all directories
	headings       map[string][]string        // anchors of the headings of each page, by the path of the page
	tests          map[string]bool            // names of test functions
	identifiers    map[string]bool            // declared names, and the names of packages
	members        map[string]map[string]bool // names that each package or type declares, by its name
	embedded       map[string][]string        // types that each type embeds, by its name
}

func newRepository() *repository {
	return &repository{
		paths:          map[string]bool{},
		directoryNames: map[string]bool{},
		headings:       map[string][]string{},
		tests:          map[string]bool{},
		identifiers:    map[string]bool{},
		members:        map[string]map[string]bool{},
		embedded:       map[string][]string{},
	}
}

// addFile adds a file and the directories above it.
func (r *repository) addFile(file, text string) {
	r.paths[file] = true
	for directory := path.Dir(file); directory != "."; directory = path.Dir(directory) {
		r.paths[directory] = true
		r.directoryNames[path.Base(directory)] = true
	}
	if path.Ext(file) == ".go" {
		r.addIdentifiers(file, text)
	}
	switch {
	case strings.HasSuffix(file, "_test.go"):
		for _, match := range testFunction.FindAllStringSubmatch(text, -1) {
			r.tests[match[1]] = true
		}
	case strings.HasSuffix(file, ".md"):
		for _, match := range heading.FindAllStringSubmatch(text, -1) {
			r.headings[file] = append(r.headings[file], anchorOf(match[1]))
		}
	}
}

// addIdentifiers adds the names that a Go file declares at package level, and the fields and methods of its types.
func (r *repository) addIdentifiers(file, text string) {
	// A file of testdata may contain syntax errors. The declarations that could be parsed are added.
	parsed, _ := parser.ParseFile(token.NewFileSet(), file, text, parser.SkipObjectResolution)
	if parsed == nil {
		return
	}
	packageName := parsed.Name.Name
	r.identifiers[packageName] = true
	for _, declaration := range parsed.Decls {
		switch declared := declaration.(type) {
		case *ast.FuncDecl:
			owner := packageName
			if declared.Recv != nil {
				owner = typeName(declared.Recv.List[0].Type)
			}
			r.addMember(owner, declared.Name)
		case *ast.GenDecl:
			for _, spec := range declared.Specs {
				r.addSpec(packageName, spec)
			}
		}
	}
}

// addSpec adds the names of a declaration of constants, variables or a type.
func (r *repository) addSpec(packageName string, spec ast.Spec) {
	switch declared := spec.(type) {
	case *ast.ValueSpec:
		r.addMember(packageName, declared.Names...)
	case *ast.TypeSpec:
		r.addMember(packageName, declared.Name)
		var fields *ast.FieldList
		switch definition := declared.Type.(type) {
		case *ast.StructType:
			fields = definition.Fields
		case *ast.InterfaceType:
			fields = definition.Methods
		default:
			return
		}
		for _, field := range fields.List {
			r.addMember(declared.Name.Name, field.Names...)
			if len(field.Names) == 0 {
				r.embedded[declared.Name.Name] = append(r.embedded[declared.Name.Name], typeName(field.Type))
			}
		}
	}
}

func (r *repository) addMember(owner string, names ...*ast.Ident) {
	if r.members[owner] == nil {
		r.members[owner] = map[string]bool{}
	}
	for _, name := range names {
		r.members[owner][name.Name] = true
		r.identifiers[name.Name] = true
	}
}

// typeName returns the name of a type without its package, pointer and type argument, or "" for a type of another form.
func typeName(expression ast.Expr) string {
	switch e := expression.(type) {
	case *ast.Ident:
		return e.Name
	case *ast.StarExpr:
		return typeName(e.X)
	case *ast.SelectorExpr:
		return e.Sel.Name
	case *ast.IndexExpr:
		return typeName(e.X)
	default:
		return ""
	}
}

// hasIdentifier reports whether a name is declared. Each part of a qualified name must be a member of the type or
// package before it. Types with the same name in several packages are treated as one type.
func (r *repository) hasIdentifier(word string) bool {
	parts := strings.Split(word, ".")
	for i, part := range parts {
		if !r.identifiers[part] || i > 0 && !r.hasMember(parts[i-1], part) {
			return false
		}
	}
	return true
}

func (r *repository) hasMember(owner, name string) bool {
	inEmbedded := func(embedded string) bool { return r.members[embedded][name] }
	return r.members[owner][name] || slices.ContainsFunc(r.embedded[owner], inEmbedded)
}

// anchorOf returns the URL fragment that links to the heading.
func anchorOf(title string) string {
	keep := func(letter rune) rune {
		switch {
		case letter == ' ':
			return '-'
		case letter == '-', letter == '_', letter >= '0' && letter <= '9', letter >= 'a' && letter <= 'z':
			return letter
		}
		return -1
	}
	return strings.Map(keep, strings.ToLower(title))
}

// hasPath reports whether the word is a path of the repository or the end of such a path. The end is enough, because
// pages name packages without the directories above them. An asterisk matches any part of one element.
func (r *repository) hasPath(word string) bool {
	if r.paths[word] {
		return true
	}
	depth := strings.Count(word, "/") + 1
	for candidate := range r.paths {
		elements := strings.Split(candidate, "/")
		if len(elements) < depth {
			continue
		}
		end := path.Join(elements[len(elements)-depth:]...)
		if matched, err := path.Match(word, end); err == nil && matched {
			return true
		}
	}
	return false
}

// hasTest reports whether a test has the name, or has the prefix before a final asterisk.
func (r *repository) hasTest(mention string) bool {
	prefix, isPrefix := strings.CutSuffix(mention, "*")
	if !isPrefix {
		return r.tests[mention]
	}
	for name := range r.tests {
		if strings.HasPrefix(name, prefix) {
			return true
		}
	}
	return false
}

// readRepository reads the files of this repository.
func readRepository(t *testing.T) (*repository, []page) {
	t.Helper()
	repo := newRepository()
	var pages []page
	err := filepath.WalkDir(repositoryRoot, func(file string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() {
			if slices.Contains(skippedDirectories, entry.Name()) {
				return fs.SkipDir
			}
			return nil
		}
		name := strings.TrimPrefix(filepath.ToSlash(file), repositoryRoot+"/")
		isPage := path.Ext(name) == ".md" || name == "KNOWN-RED.txt"
		var text []byte
		if isPage || path.Ext(name) == ".go" {
			if text, err = os.ReadFile(file); err != nil {
				return err
			}
		}
		repo.addFile(name, string(text))
		if isPage {
			pages = append(pages, page{path: name, text: string(text)})
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if len(pages) == 0 || len(repo.tests) == 0 {
		t.Fatalf("read %d pages and %d tests", len(pages), len(repo.tests))
	}
	return repo, pages
}
