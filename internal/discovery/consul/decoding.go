package consul

import (
	"cmp"
	"net"
	"strconv"
	"strings"

	"flaxrelay/internal/discovery"
	"flaxrelay/internal/lifecycle"
	"flaxrelay/policy"
)

// The ids of the health checks that Consul registers for a node or a service in maintenance mode.
const (
	nodeMaintenanceCheck          = "_node_maintenance"
	serviceMaintenanceCheckPrefix = "_service_maintenance"
)

const maxPort = 65535

// registration is an element of the catalog's response. Other keys are ignored.
type registration struct {
	Node           string            `json:"Node"`
	Address        string            `json:"Address"`
	Datacenter     string            `json:"Datacenter"`
	NodeMeta       map[string]string `json:"NodeMeta"`
	ServiceID      string            `json:"ServiceID"`
	ServiceAddress string            `json:"ServiceAddress"`
	ServicePort    int               `json:"ServicePort"`
	ServiceMeta    map[string]string `json:"ServiceMeta"`
}

// valid reports whether the registration has an id and a port.
func (r *registration) valid() bool {
	return r.ServiceID != "" && r.ServicePort >= 1 && r.ServicePort <= maxPort
}

// endpoint returns the engine without its state. The metadata of the service takes precedence over the
// metadata of the node, and both take precedence over the options.
func (r *registration) endpoint(opts Options) lifecycle.Endpoint {
	host := cmp.Or(r.ServiceAddress, r.Address)
	engine := lifecycle.Endpoint{
		Address: net.JoinHostPort(host, strconv.Itoa(r.ServicePort)),
		Engine: policy.Engine{
			ID:   engineID(r.Node, r.ServiceID),
			Zone: cmp.Or(r.ServiceMeta["zone"], r.NodeMeta["zone"], opts.Zone, r.Datacenter),
			Kind: cmp.Or(r.ServiceMeta["kind"], r.NodeMeta["kind"], opts.Kind),
		},
	}
	if cell, err := strconv.ParseInt(cmp.Or(r.ServiceMeta["cell"], r.NodeMeta["cell"]), 10, 64); err == nil {
		engine.Cell, engine.CellKnown = cell, true
	}
	if startTime, err := strconv.ParseInt(r.ServiceMeta["boot_ms"], 10, 64); err == nil {
		engine.StartedAt, engine.StartKnown = discovery.StartTime(startTime)
	}
	return engine
}

// healthEntry is an element of the health API's response. Other keys are ignored.
type healthEntry struct {
	Node struct {
		Node string `json:"Node"`
	} `json:"Node"`
	Service struct {
		ID   string            `json:"ID"`
		Meta map[string]string `json:"Meta"`
	} `json:"Service"`
	Checks []struct {
		CheckID string `json:"CheckID"`
		Status  string `json:"Status"`
	} `json:"Checks"`
}

func (e *healthEntry) engineID() string { return engineID(e.Node.Node, e.Service.ID) }

// state returns the state of the engine: draining in maintenance mode; otherwise removed if a health
// check is critical; otherwise draining if the metadata of the service says so; otherwise ready.
func (e *healthEntry) state() policy.EngineState {
	state := policy.EngineReady
	if e.Service.Meta["draining"] == "true" {
		state = policy.EngineDraining
	}
	for _, check := range e.Checks {
		switch {
		case check.CheckID == nodeMaintenanceCheck || strings.HasPrefix(check.CheckID, serviceMaintenanceCheckPrefix):
			return policy.EngineDraining
		case check.Status == "critical":
			state = policy.EngineRemoved
		}
	}
	return state
}

// engineID returns the id of an engine. It includes the node, because service ids are unique only on a
// node.
func engineID(node, service string) string { return node + "/" + service }
