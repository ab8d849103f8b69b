package main

import (
	"os"
	"testing"
)

const (
	exampleConfig           = "../../examples/toy/config.json"
	exampleListenAddress    = "127.0.0.1:9090" // in exampleConfig
	exampleEngineAddress    = "127.0.0.1:9101" // in exampleConfig
	exampleDeploy           = "../../deploy/postgres.toml"
	exampleSettings         = "../../deploy/postgres-settings.json"
	examplePostgresAddress  = "127.0.0.1:5433" // in exampleDeploy
	exampleConsulAddress    = "127.0.0.1:8500" // in exampleDeploy
	closedLoopbackPort      = "127.0.0.1:1"    // nobody listens there
	otherClosedLoopbackPort = "127.0.0.1:2"    // nor there
)

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
