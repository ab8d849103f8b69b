package harness

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// Files of the deploy folder, and their settings that the harness changes.
const (
	deployFile   = "postgres.toml"
	settingsFile = "postgres-settings.json"
	shapesFile   = "shapes.toml"

	deployedListenAddr = `"127.0.0.1:5433"`
	deployedConsulAddr = `"127.0.0.1:8500"`
)

// target is an engine as a platform configuration names it.
type target struct {
	UID      string `json:"uid"`
	Endpoint string `json:"endpoint"`
	AZ       string `json:"az"`
	Model    string `json:"model"`
	State    string `json:"state"`
}

// topology is the event of the bus that lists all engines.
type topology struct {
	Revision int      `json:"rev"`
	All      bool     `json:"all"`
	Targets  []target `json:"targets"`
}

// busEvent is one event of the bus.
type busEvent struct {
	Offset   int      `json:"offset"`
	Topology topology `json:"topology"`
}

// knownEvents are the events that a platform configuration holds.
type knownEvents struct {
	Offset int        `json:"offset"`
	Batch  []busEvent `json:"batch"`
}

// writeFiles writes the files of both front ends.
func (e *Environment) writeFiles(opts Options, targets []target, bus, agent string) error {
	if err := e.writeConfig(opts, targets, bus); err != nil {
		return err
	}
	for _, name := range []string{deployFile, settingsFile, shapesFile} {
		text, err := os.ReadFile(filepath.Join(opts.Root, "deploy", name))
		if err != nil {
			return fmt.Errorf("harness: %w", err)
		}
		changed := strings.Replace(string(text), deployedListenAddr, fmt.Sprintf("%q", opts.PostgresAddr), 1)
		changed = strings.Replace(changed, deployedConsulAddr, fmt.Sprintf("%q", agent), 1)
		if opts.EnableShapes {
			changed = strings.Replace(changed, "enabled = false", "enabled = true", 1)
		}
		if err := os.WriteFile(filepath.Join(opts.Dir, name), []byte(changed), 0o600); err != nil {
			return fmt.Errorf("harness: %w", err)
		}
	}
	return nil
}

// writeConfig writes the platform configuration of the HTTP front end: that of the example, with
// addresses and engines of the harness.
func (e *Environment) writeConfig(opts Options, targets []target, bus string) error {
	raw, err := os.ReadFile(filepath.Join(opts.Root, "examples/toy/config.json"))
	if err != nil {
		return fmt.Errorf("start this from the repository's root: %w", err)
	}
	var config map[string]any // of which all but three fields stay as they are
	if err := json.Unmarshal(raw, &config); err != nil {
		return fmt.Errorf("harness: %w", err)
	}
	event := busEvent{Offset: onlyOffset, Topology: topology{Revision: 1, All: true, Targets: targets}}
	config["listen"], config["bus"] = opts.HTTPAddr, bus
	config["known"] = knownEvents{Offset: onlyOffset, Batch: []busEvent{event}}
	if raw, err = json.MarshalIndent(config, "", " "); err != nil {
		return fmt.Errorf("harness: %w", err)
	}
	if err := os.WriteFile(e.ConfigFile, raw, 0o600); err != nil {
		return fmt.Errorf("harness: %w", err)
	}
	return nil
}
