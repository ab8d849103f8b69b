package lifecycle

import (
	"cmp"
	"slices"

	"flaxrelay/policy"
)

// Endpoint is an entry of the endpoint list: an engine with what the balancer
// does not need.
type Endpoint struct {
	policy.Engine
	Address string // that the engine listens on
}

// UpdateEndpoints applies the endpoint list or a change to it, according to mode.
func (d *Dispatcher) UpdateEndpoints(mode policy.UpdateMode, endpoints []Endpoint) {
	d.counters.IncrementByName("discovery.updates")
	previous := d.endpoints
	complete := mode == policy.UpdateFull || mode == policy.UpdateCached
	if complete {
		d.endpoints = map[string]Endpoint{}
	}
	event := policy.EndpointsChanged{Mode: mode}
	for _, e := range endpoints {
		event.Engines = append(event.Engines, e.Engine)
		d.engineClient.UpdateEndpoint(e) // before the balancer may start an attempt there
		if e.State == policy.EngineRemoved {
			delete(d.endpoints, e.ID)
		} else {
			d.endpoints[e.ID] = e
		}
	}
	if complete {
		d.removeUnlisted(previous)
	}
	d.handleEvent(event)
	d.withdrawFromUnready()
}

// removeUnlisted removes the endpoints that a complete list no longer names, so that
// connections to them are retired.
func (d *Dispatcher) removeUnlisted(previous map[string]Endpoint) {
	for id, e := range previous {
		if _, listed := d.endpoints[id]; !listed {
			e.State = policy.EngineRemoved
			d.engineClient.UpdateEndpoint(e)
		}
	}
}

// withdrawFromUnready ends the attempts that wait for a connection to an engine
// that is draining or removed: the connection may take longer to come up than the
// engine may still be sent requests.
func (d *Dispatcher) withdrawFromUnready() {
	var withdrawn []*Attempt
	for _, r := range d.requests {
		for _, a := range r.attempts {
			if !a.Ended() && d.endpoints[a.Engine].State != policy.EngineReady && d.engineClient.Withdraw(a) {
				withdrawn = append(withdrawn, a)
			}
		}
	}
	slices.SortFunc(withdrawn, byOrderOfStart)
	for _, a := range withdrawn {
		d.EndAttempt(a, StatusNotSent, AttemptReport{})
	}
}

// byOrderOfStart makes the order in which attempts end independent of the order
// of a map.
func byOrderOfStart(a, b *Attempt) int {
	return cmp.Or(cmp.Compare(a.Request.policyID, b.Request.policyID), cmp.Compare(a.index, b.index))
}
