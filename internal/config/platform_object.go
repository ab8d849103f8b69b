package config

import (
	"fmt"
	"time"

	"flaxrelay/internal/lifecycle"
	"flaxrelay/policy"
)

// settingsKey is the key of the settings object in the platform's configuration.
const settingsKey = "settings"

// platformObject is the JSON object of the platform's configuration. Keys that it does
// not name are skipped.
type platformObject struct {
	Name     string               `json:"name"`
	Listen   string               `json:"listen"`
	Seed     string               `json:"seed"`
	Limits   platformLimitsObject `json:"limits"`
	Bus      string               `json:"bus"`
	Known    knownEventsObject    `json:"known"`
	Settings *Settings            `json:"settings"`
}

// platformLimitsObject holds the resource limits of the process.
type platformLimitsObject struct {
	MemoryMB float64 `json:"memory_mb"`
	Sockets  float64 `json:"sockets"`
}

// knownEventsObject holds the events of the event bus up to a number.
type knownEventsObject struct {
	Offset uint64        `json:"offset"`
	Batch  []eventObject `json:"batch"`
}

// eventObject is one event of the event bus.
type eventObject struct {
	Offset   uint64         `json:"offset"`
	Topology topologyObject `json:"topology"`
}

// topologyObject is a change of the endpoint list, or the whole list.
type topologyObject struct {
	All     bool             `json:"all"`
	Targets []endpointObject `json:"targets"`
}

// endpointObject is one engine of the endpoint list.
type endpointObject struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	AZ       string  `json:"az"`
	Model    string  `json:"model"`
	PodGroup int64   `json:"pod_group"`
	State    string  `json:"state"`
	BootMS   float64 `json:"boot_ms"`
}

// endpointStates are the states of engines as the endpoint list spells them.
var endpointStates = map[string]policy.EngineState{
	"in_service":  policy.EngineReady,
	"terminating": policy.EngineDraining,
	"terminated":  policy.EngineRemoved,
}

// translate returns the event, and reports the fields that can't be used.
func (o *topologyObject) translate(v *validator, path string) Event {
	event := Event{Full: o.All}
	for i := range o.Targets {
		endpointPath := fmt.Sprintf("%s.targets[%d]", path, i)
		event.Engines = append(event.Engines, o.Targets[i].translate(v, endpointPath))
	}
	return event
}

// translate returns the endpoint, and reports the fields that can't be used.
func (o *endpointObject) translate(v *validator, path string) lifecycle.Endpoint {
	state, known := endpointStates[o.State]
	v.require(known, path+".state", "unknown value %q", o.State)
	v.require(o.UID != "", path+".uid", "missing")
	v.requireAddress(path+".endpoint", o.Endpoint)
	endpoint := lifecycle.Endpoint{
		Address: o.Endpoint,
		Engine:  policy.Engine{ID: o.UID, Zone: o.AZ, Kind: o.Model, Cell: o.PodGroup, State: state},
	}
	endpoint.StartedAt, endpoint.StartKnown = bootTime(o.BootMS)
	return endpoint
}

// bootTime translates a Unix time in milliseconds into the policy module's time, which
// counts from the same origin. Engines that started long ago have none.
func bootTime(unixMS float64) (at time.Duration, known bool) {
	if unixMS <= 0 {
		return 0, false
	}
	return time.Duration(unixMS) * time.Millisecond, true
}
