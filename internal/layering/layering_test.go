// Package layering contains the tests of the imports between the packages of this module.
package layering

import (
	"bytes"
	"fmt"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

const (
	modulePrefix   = "flaxrelay/"
	labPrefix      = "internal/lab/"
	decisionPrefix = "internal/decision/"
	repositoryRoot = "../.."
)

// layers lists the packages from the top layer down. A name includes the package and the packages in
// its subdirectories. A name that ends in a slash includes only the packages in subdirectories. A package may
// import packages of its own layer and of lower layers.
var layers = [][]string{
	{"cmd/"},
	{"internal/frontend/", "internal/simprotocol"},
	{"internal/engine"},
	{"internal/stmtstats"},
	{"internal/discovery/", "internal/config"},
	{"internal/discovery"},
	{"internal/lifecycle", "internal/eventloop"},
	{decisionPrefix},
	{
		"policy", "internal/sqltext", "internal/pgproto", "internal/timerqueue", "internal/memorybudget",
		"internal/metrics", "internal/logevent", "internal/logging", "internal/invariant",
	},
}

// testOnlyPackages contain only tests and belong to no layer.
var testOnlyPackages = []string{"internal/e2e", "internal/layering", "internal/observability", "internal/pages"}

// testSupportPackages may be imported only by tests and by each other. They need not belong to a
// layer.
var testSupportPackages = []string{
	"internal/clitest",
	"internal/discovery/discoverytest",
	"internal/engine/enginetest",
	"internal/eventloop/eventlooptest",
	"internal/golden",
	"internal/growthtest",
	"internal/tcptest",
}

// layerOf returns the index of the package's layer in layers, or -1 if no layer includes the package.
func layerOf(pkg string) int {
	return slices.IndexFunc(layers, func(names []string) bool {
		return slices.ContainsFunc(names, func(name string) bool { return contains(name, pkg) })
	})
}

// contains reports whether a layer's name includes the package.
func contains(name, pkg string) bool {
	if strings.HasSuffix(name, "/") {
		return strings.HasPrefix(pkg, name)
	}
	return pkg == name || strings.HasPrefix(pkg, name+"/")
}

// goList returns the lines that go list prints.
func goList(t *testing.T, args ...string) []string {
	t.Helper()
	cmd := exec.Command("go", append([]string{"list"}, args...)...)
	cmd.Dir = repositoryRoot
	out, err := cmd.Output()
	if err != nil {
		t.Fatal(err)
	}
	return strings.Split(strings.TrimSpace(string(out)), "\n")
}

// impureImports are packages that a decision package must not import, because they do I/O, log, or
// generate random numbers.
var impureImports = []string{
	"net", "os", "syscall", "log", "log/slog", "math/rand", "math/rand/v2", "io", "hash/maphash",
}

// TestImports_PointToLowerLayers also checks that decision packages import nothing for I/O, logging or
// randomness, that only tests import test support packages, that no package of a serving program
// imports a lab package, and that no lab package imports a command.
func TestImports_PointToLowerLayers(t *testing.T) {
	for _, line := range goList(t, "-f", "{{.ImportPath}}: {{join .Imports \" \"}}", "./...") {
		pkg, imports, _ := strings.Cut(line, ": ")
		pkg = strings.TrimPrefix(pkg, modulePrefix)
		needsNoLayer := strings.HasPrefix(pkg, labPrefix) ||
			slices.Contains(testOnlyPackages, pkg) || slices.Contains(testSupportPackages, pkg)
		if layerOf(pkg) < 0 && !needsNoLayer {
			t.Errorf("%s belongs to no layer", pkg)
		}
		for path := range strings.FieldsSeq(imports) {
			checkImport(t, pkg, path)
		}
	}
}

// checkImport fails the test if an import breaks a rule on layers, decisions, test support or lab packages.
func checkImport(t *testing.T, pkg, path string) {
	t.Helper()
	if strings.HasPrefix(pkg, decisionPrefix) && slices.Contains(impureImports, path) {
		t.Errorf("%s imports %s: decision packages must not do I/O, log, or generate random numbers", pkg, path)
	}
	imported, isInternal := strings.CutPrefix(path, modulePrefix)
	if !isInternal {
		return
	}
	if slices.Contains(testSupportPackages, imported) && !slices.Contains(testSupportPackages, pkg) {
		t.Errorf("%s imports %s outside its tests", pkg, imported)
	}
	isLab := strings.HasPrefix(pkg, labPrefix)
	layer := layerOf(pkg)
	switch {
	case strings.HasPrefix(imported, labPrefix) && !isLab && pkg != "cmd/flaxlab":
		t.Errorf("%s imports %s: only lab packages and cmd/flaxlab may import lab packages", pkg, imported)
	case isLab && strings.HasPrefix(imported, "cmd/"):
		t.Errorf("%s imports %s: lab packages must not import commands", pkg, imported)
	case !isLab && layer >= 0 && layerOf(imported) >= 0 && layerOf(imported) < layer:
		t.Errorf("%s imports %s, which belongs to a higher layer", pkg, imported)
	}
}

// TestDependencies_HaveNoImpureOrLabPackages checks the transitive dependencies of decision packages
// and of the programs that serve requests.
func TestDependencies_HaveNoImpureOrLabPackages(t *testing.T) {
	for _, dependency := range goList(t, "-deps", "./"+decisionPrefix+"...") {
		if slices.Contains([]string{"net", "log", "os/exec", "net/http"}, dependency) {
			t.Errorf("decision packages depend on %s", dependency)
		}
	}
	for _, dependency := range goList(t, "-deps", "./cmd/flaxrelay", "./cmd/simadapter") {
		switch {
		case strings.HasPrefix(dependency, modulePrefix+labPrefix),
			strings.HasPrefix(dependency, "gonum.org/"),
			dependency == "testing": // through a test support package
			t.Errorf("a serving program depends on %s", dependency)
		}
	}
}

// clockOrGoroutine matches a call that reads the clock or waits for a time, and the start of a
// goroutine with a function literal.
var clockOrGoroutine = regexp.MustCompile(`time\.(Now|Since|After|Sleep|Tick)|\bgo func`)

func TestDecisions_ReadNoClockAndStartNoGoroutine(t *testing.T) {
	for _, dir := range []string{decisionPrefix, "policy"} {
		files := 0
		err := filepath.WalkDir(filepath.Join(repositoryRoot, dir), func(path string, _ fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			files++
			text, err := os.ReadFile(path)
			if err != nil {
				return fmt.Errorf("read a source file: %w", err)
			}
			for number, line := range bytes.Split(text, []byte("\n")) {
				if clockOrGoroutine.Match(line) {
					t.Errorf("%s:%d: %s", path, number+1, line)
				}
			}
			return nil
		})
		if err != nil {
			t.Error(err)
		}
		if files == 0 {
			t.Errorf("%s contains no Go files", dir)
		}
	}
}
