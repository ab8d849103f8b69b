package soak

import (
	"encoding/json"
	"fmt"
	"os"

	"flaxrelay/internal/lab/fake"
)

// frontEndConfig is the content of a front end's configuration file.
type frontEndConfig struct {
	Name     string           `json:"name"`
	Listen   string           `json:"listen"`
	Seed     string           `json:"seed"` // 16 hexadecimal digits
	Limits   machineLimits    `json:"limits"`
	Bus      string           `json:"bus"`
	Known    fake.KnownEvents `json:"known"`
	Settings map[string]any   `json:"settings"`
}

// machineLimits limit the machine's resources that a front end may use.
type machineLimits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// frontEndLimits are the limits of every front end.
var frontEndLimits = machineLimits{Cores: 1, MemoryMB: 192, Sockets: 512}

// formatSeed returns a seed in the format of the configuration.
func formatSeed(seed uint64) string { return fmt.Sprintf("%016x", seed) }

// encode returns the configuration as the content of a file.
func (c *frontEndConfig) encode() ([]byte, error) {
	encoded, err := json.MarshalIndent(c, "", " ")
	if err != nil {
		return nil, fmt.Errorf("encode the configuration of %s: %w", c.Name, err)
	}
	return encoded, nil
}

// writeConfig atomically replaces the configuration file. The new file contains the current state of the bus.
func (f *frontEnd) writeConfig(seed uint64) error {
	config := frontEndConfig{
		Name: f.name, Listen: f.addr, Seed: formatSeed(seed), Limits: frontEndLimits, Bus: f.run.bus.addr(),
		Known: f.run.bus.known(), Settings: settingsObject(f.run.settings, len(f.run.frontEnds)),
	}
	encoded, err := config.encode()
	if err != nil {
		return err
	}
	temporary := f.configPath + ".new"
	if err := os.WriteFile(temporary, encoded, fileMode); err != nil {
		return fmt.Errorf("configuration of %s: %w", f.name, err)
	}
	if err := os.Rename(temporary, f.configPath); err != nil {
		return fmt.Errorf("configuration of %s: %w", f.name, err)
	}
	return nil
}

// shapesConfigFormat is the format of the configuration of the statement statistics. The argument of the format is
// the path of the snapshot.
const shapesConfigFormat = `enabled = true
correct_estimates = true
memory_kb = 256
hysteresis = 1.3
snapshot = %q
snapshot_every_s = 10
`

// writeShapesConfig writes the configuration of the statement statistics. All processes of the front end
// use the same snapshot.
func (f *frontEnd) writeShapesConfig() error {
	text := fmt.Sprintf(shapesConfigFormat, f.snapshotPath)
	if err := os.WriteFile(f.shapesPath, []byte(text), fileMode); err != nil {
		return fmt.Errorf("statement statistics of %s: %w", f.name, err)
	}
	return nil
}
