package fake

// Target is an engine of the endpoint list in a platform configuration.
type Target struct {
	UID          string `json:"uid"`
	Endpoint     string `json:"endpoint"`
	AZ           string `json:"az"`
	Model        string `json:"model"`
	PodGroup     int    `json:"pod_group"`
	State        string `json:"state"`
	CapacityHint int    `json:"capacity_hint"`
	BootMS       int64  `json:"boot_ms"` // start in Unix milliseconds; 0: long ago
}

// KnownEvents are the events of the bus that a platform configuration contains.
type KnownEvents struct {
	LastEvent int          `json:"offset"` // number of the last event
	Events    []KnownEvent `json:"batch"`
}

// KnownEvent is one event of KnownEvents.
type KnownEvent struct {
	Number   int      `json:"offset"`
	Topology Topology `json:"topology"`
}

// Topology is a change of the endpoint list, or the complete list.
type Topology struct {
	Revision int      `json:"rev"`
	All      bool     `json:"all"` // whether Targets is the complete list
	Targets  []Target `json:"targets"`
}

// KnownList returns one event that replaces all events up to lastEvent. The event contains the complete list.
func KnownList(lastEvent int, targets []Target) KnownEvents {
	event := KnownEvent{Number: lastEvent, Topology: Topology{Revision: lastEvent, All: true, Targets: targets}}
	return KnownEvents{LastEvent: lastEvent, Events: []KnownEvent{event}}
}
