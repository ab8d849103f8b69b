package harness

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"flaxrelay/internal/lab/fake"
)

// Files of the deploy directory, and the addresses in them that the harness replaces.
const (
	deployFile   = "postgres.toml"
	settingsFile = "postgres-settings.json"
	shapesFile   = "shapes.toml"

	deployedListenAddr = `"127.0.0.1:5433"`
	deployedConsulAddr = `"127.0.0.1:8500"`
)

// fileMode is the mode of the written files.
const fileMode = 0o600

// writeFiles writes the files of both front ends.
func (e *Environment) writeFiles(opts Options, targets []fake.Target, bus, consul string) error {
	if err := e.writeConfig(opts, targets, bus); err != nil {
		return err
	}
	for _, name := range []string{deployFile, settingsFile, shapesFile} {
		text, err := os.ReadFile(filepath.Join(opts.Root, "deploy", name))
		if err != nil {
			return fmt.Errorf("harness: %w", err)
		}
		changed := strings.Replace(string(text), deployedListenAddr, fmt.Sprintf("%q", opts.PostgresAddr), 1)
		changed = strings.Replace(changed, deployedConsulAddr, fmt.Sprintf("%q", consul), 1)
		if opts.EnableShapes {
			changed = strings.Replace(changed, "enabled = false", "enabled = true", 1)
		}
		if err := os.WriteFile(filepath.Join(opts.Dir, name), []byte(changed), fileMode); err != nil {
			return fmt.Errorf("harness: %w", err)
		}
	}
	return nil
}

// writeConfig writes the platform configuration of the HTTP front end: the example configuration, with the
// addresses and engines of the harness.
func (e *Environment) writeConfig(opts Options, targets []fake.Target, bus string) error {
	raw, err := os.ReadFile(filepath.Join(opts.Root, "examples/toy/config.json"))
	if err != nil {
		return fmt.Errorf("read the example configuration (run from the root of the repository): %w", err)
	}
	var config map[string]any // not a struct, because only three keys change
	if err := json.Unmarshal(raw, &config); err != nil {
		return fmt.Errorf("harness: %w", err)
	}
	config["listen"] = opts.HTTPAddr
	config["bus"] = bus
	config["known"] = fake.KnownList(onlyEvent, targets)
	if raw, err = json.MarshalIndent(config, "", " "); err != nil {
		return fmt.Errorf("harness: %w", err)
	}
	if err := os.WriteFile(e.ConfigFile, raw, fileMode); err != nil {
		return fmt.Errorf("harness: %w", err)
	}
	return nil
}
