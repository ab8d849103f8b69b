package config

import (
	"fmt"
	"os"
	"strconv"

	"flaxrelay/internal/lifecycle"
)

// Config is the configuration of a front end on the platform.
type Config struct {
	Name           string
	Listen         string
	Seed           uint64
	MemoryMB       int
	MaxDescriptors int
	EventBus       string
	LastEvent      uint64  // number of the last known event
	InitialEvents  []Event // the events of the endpoint list up to now
	Settings       Settings
}

// Event is one change of the endpoint list, or the whole list.
type Event struct {
	Full    bool
	Engines []lifecycle.Endpoint
}

// Load reads the configuration at the path. Its error reports all faults, each with its
// line and field (see FieldErrorsOf).
func Load(path string) (*Config, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	return parsePlatform(raw, path)
}

// parsePlatform reads a configuration and validates it; the path is for its faults.
func parsePlatform(raw []byte, path string) (*Config, error) {
	v := &validator{file: path}
	var object platformObject
	if !decodePlatform(v, raw, &object) {
		return nil, v.err()
	}
	configuration := object.translate(v)
	if object.Settings == nil {
		v.report(settingsKey, "missing")
		return nil, v.err()
	}
	configuration.Settings = *object.Settings
	v.require(configuration.Settings.Policy.Replicas >= 1, "settings.balancers", "not at least 1")
	v.require(len(configuration.Settings.Policy.Classes) > 0, "settings.classes", "none")
	if err := v.err(); err != nil {
		return nil, err
	}
	return configuration, nil
}

// translate returns the configuration without its settings, and reports the fields that
// can't be used.
func (o *platformObject) translate(v *validator) *Config {
	addresses := []struct{ field, address string }{{"listen", o.Listen}, {"bus", o.Bus}}
	for _, a := range addresses {
		if a.address != "" { // both may be left out
			v.requireAddress(a.field, a.address)
		}
	}
	configuration := &Config{
		Name:           o.Name,
		Listen:         o.Listen,
		MemoryMB:       int(o.Limits.MemoryMB),
		MaxDescriptors: int(o.Limits.Sockets),
		EventBus:       o.Bus,
		LastEvent:      o.Known.Offset,
	}
	if o.Seed != "" {
		seed, err := strconv.ParseUint(o.Seed, 16, 64)
		v.require(err == nil, "seed", "%q is not a number of up to 16 hex digits", o.Seed)
		configuration.Seed = seed
	}
	for i := range o.Known.Batch {
		event := &o.Known.Batch[i]
		path := fmt.Sprintf("known.batch[%d].topology", i)
		configuration.LastEvent = max(configuration.LastEvent, event.Offset)
		configuration.InitialEvents = append(configuration.InitialEvents, event.Topology.translate(v, path))
	}
	return configuration
}
