package config

import (
	"fmt"
	"os"
	"strconv"

	"flaxrelay/internal/lifecycle"
	"flaxrelay/policy"
)

// Platform is the decoded configuration file of the HTTP front end. The platform is the environment that
// runs the front end and the event bus.
type Platform struct {
	Listen         string           // address for clients; "": not configured
	Seed           uint64           // seed of the balancer's random numbers
	MemoryMB       int              // limit on memory; 0: not configured
	MaxDescriptors int              // limit on descriptors; 0: not configured
	EventBus       string           // address of the event bus; "": the endpoint list does not change
	LastEvent      uint64           // number of the last known event
	InitialUpdates []EndpointUpdate // updates of the endpoint list up to the last known event
	Settings       Settings
}

// EndpointUpdate is the complete endpoint list, or a change of it.
type EndpointUpdate struct {
	Mode    policy.UpdateMode // UpdateFull or UpdateDelta
	Engines []lifecycle.Endpoint
}

// LoadPlatform reads the configuration at the path. The returned error contains all errors in the file,
// with their lines and fields (see FieldErrorsOf).
func LoadPlatform(path string) (*Platform, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	return parsePlatform(raw, path)
}

// parsePlatform decodes and validates a configuration. The path is used only in errors.
func parsePlatform(raw []byte, path string) (*Platform, error) {
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
	v.require(configuration.Settings.Policy.Replicas >= 1, "settings.balancers", "must be at least 1")
	v.require(len(configuration.Settings.Policy.Classes) > 0, "settings.classes", noClassesText)
	if err := v.err(); err != nil {
		return nil, err
	}
	return configuration, nil
}

// translate returns the configuration without its settings, and reports invalid fields.
func (o *platformObject) translate(v *validator) *Platform {
	v.requireOptionalAddress("listen", o.Listen)
	v.requireOptionalAddress("bus", o.EventBus)
	configuration := &Platform{
		Listen:         o.Listen,
		Seed:           parseSeed(v, o.Seed),
		MemoryMB:       int(o.Limits.MemoryMB),
		MaxDescriptors: int(o.Limits.MaxDescriptors),
		EventBus:       o.EventBus,
	}
	configuration.LastEvent, configuration.InitialUpdates = o.Known.translate(v)
	return configuration
}

// parseSeed parses a hexadecimal seed, and reports an invalid seed. A missing seed is 0.
func parseSeed(v *validator, text string) uint64 {
	if text == "" {
		return 0
	}
	seed, err := strconv.ParseUint(text, 16, 64)
	v.require(err == nil, "seed", "%q is not a number of up to 16 hex digits", text)
	return seed
}
