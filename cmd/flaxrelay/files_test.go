package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"flaxrelay/internal/tcptest"
)

const (
	exampleConfig           = "../../examples/toy/config.json"
	exampleListenAddress    = "127.0.0.1:9090" // in exampleConfig
	exampleEngineAddress    = "127.0.0.1:9101" // in exampleConfig
	exampleDeploy           = "../../deploy/postgres.toml"
	exampleSettings         = "../../deploy/postgres-settings.json"
	examplePostgresAddress  = "127.0.0.1:5433" // in exampleDeploy
	exampleConsulAddress    = "127.0.0.1:8500" // in exampleDeploy
	closedLoopbackPort      = "127.0.0.1:1"    // has no listener
	otherClosedLoopbackPort = "127.0.0.1:2"    // has no listener
)

// writeExampleConfig writes the example configuration with replacements, which are pairs of texts, and
// returns its path. The listen address becomes any free port, unless it is one of the replacements.
func writeExampleConfig(t *testing.T, replacements ...string) (path string) {
	t.Helper()
	replacements = append(replacements, exampleListenAddress, tcptest.AnyLoopbackPort)
	return writeConfig(t, strings.NewReplacer(replacements...).Replace(readFile(t, exampleConfig)))
}

// writeConfig writes a configuration of the HTTP front end to a temporary directory and returns its path.
func writeConfig(t *testing.T, text string) (path string) {
	t.Helper()
	path = filepath.Join(t.TempDir(), "config.json")
	writeFile(t, path, text)
	return path
}

func readFile(t *testing.T, path string) string {
	t.Helper()
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(raw)
}

func writeFile(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}
