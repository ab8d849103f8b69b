package config

import (
	"fmt"
	"time"

	"flaxrelay/internal/lifecycle"
	"flaxrelay/policy"
)

// settingsKey is the key of the settings object in the platform's configuration.
const settingsKey = "settings"

// platformObject is the JSON object of the platform's configuration. Other keys are ignored.
type platformObject struct {
	Name     string               `json:"name"` // not used, but must be a string
	Listen   string               `json:"listen"`
	Seed     string               `json:"seed"`
	Limits   platformLimitsObject `json:"limits"`
	EventBus string               `json:"bus"`
	Known    knownEventsObject    `json:"known"`
	Settings *Settings            `json:"settings"`
}

// platformLimitsObject contains the resource limits of the process.
type platformLimitsObject struct {
	MemoryMB       float64 `json:"memory_mb"`
	MaxDescriptors float64 `json:"sockets"`
}

// knownEventsObject contains the events of the event bus up to the last known event.
type knownEventsObject struct {
	LastEvent uint64        `json:"offset"`
	Events    []eventObject `json:"batch"`
}

// eventObject is one event of the event bus.
type eventObject struct {
	Number   uint64         `json:"offset"`
	Topology topologyObject `json:"topology"`
}

// topologyObject is the complete endpoint list, or a change of it.
type topologyObject struct {
	Complete  bool             `json:"all"`
	Endpoints []endpointObject `json:"targets"`
}

// endpointObject is one engine of the endpoint list.
type endpointObject struct {
	ID          string  `json:"uid"`
	Address     string  `json:"endpoint"`
	Zone        string  `json:"az"`
	Kind        string  `json:"model"`
	Cell        *int64  `json:"pod_group"` // nil: not given
	State       string  `json:"state"`
	StartTimeMS float64 `json:"boot_ms"` // since the Unix epoch
}

// endpointStates maps the names of states in the endpoint list to the states of engines.
var endpointStates = map[string]policy.EngineState{
	"in_service":  policy.EngineReady,
	"terminating": policy.EngineDraining,
	"terminated":  policy.EngineRemoved,
}

// translate returns the number of the last event and the updates of the endpoint list, and reports
// invalid fields.
func (o *knownEventsObject) translate(v *validator) (lastEvent uint64, updates []EndpointUpdate) {
	lastEvent = o.LastEvent
	for i := range o.Events {
		event := &o.Events[i]
		path := fmt.Sprintf("known.batch[%d].topology", i)
		lastEvent = max(lastEvent, event.Number)
		updates = append(updates, event.Topology.translate(v, path))
	}
	return lastEvent, updates
}

// translate returns the update of the endpoint list, and reports invalid fields.
func (o *topologyObject) translate(v *validator, path string) EndpointUpdate {
	update := EndpointUpdate{Mode: policy.UpdateDelta}
	if o.Complete {
		update.Mode = policy.UpdateFull
	}
	for i := range o.Endpoints {
		endpointPath := fmt.Sprintf("%s.targets[%d]", path, i)
		update.Engines = append(update.Engines, o.Endpoints[i].translate(v, endpointPath))
	}
	return update
}

// translate returns the endpoint, and reports invalid fields.
func (o *endpointObject) translate(v *validator, path string) lifecycle.Endpoint {
	state, known := endpointStates[o.State]
	v.require(known, path+".state", unknownValueText, o.State)
	v.require(o.ID != "", path+".uid", "missing")
	v.requireAddress(path+".endpoint", o.Address)
	endpoint := lifecycle.Endpoint{
		Address: o.Address,
		Engine:  policy.Engine{ID: o.ID, Zone: o.Zone, Kind: o.Kind, State: state},
	}
	if o.Cell != nil {
		endpoint.Cell, endpoint.CellKnown = *o.Cell, true
	}
	endpoint.StartedAt, endpoint.StartKnown = startTime(o.StartTimeMS)
	return endpoint
}

// startTime converts the start time of an engine to a time of package policy. Both times are counted
// from the Unix epoch. A start time of 0 or less is unknown. In the endpoint list, 0 means that the
// engine started long ago.
func startTime(unixMS float64) (at time.Duration, known bool) {
	if unixMS <= 0 {
		return 0, false
	}
	return time.Duration(unixMS) * time.Millisecond, true
}
