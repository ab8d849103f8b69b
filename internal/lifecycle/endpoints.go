package lifecycle

import (
	"cmp"
	"slices"
	"time"

	"flaxrelay/internal/metrics"
	"flaxrelay/policy"
)

// Endpoint is an entry of the endpoint list: an engine and its address. The balancer does not
// need the address.
type Endpoint struct {
	policy.Engine
	Address string // the engine accepts connections at this address
}

// endpointTable is the endpoint list as last reported, without removed engines.
type endpointTable struct {
	byID       map[string]Endpoint
	warmupTime time.Duration // how long after its start an engine counts as warming up
}

func newEndpointTable(warmupTime time.Duration) endpointTable {
	return endpointTable{byID: map[string]Endpoint{}, warmupTime: warmupTime}
}

// ready reports whether requests may be sent to an engine.
func (t *endpointTable) ready(engineID string) bool {
	return t.byID[engineID].State == policy.EngineReady
}

// warmingUp reports whether an engine was warming up at an instant, according to its start in the endpoint
// list.
func (t *endpointTable) warmingUp(engineID string, at time.Duration) bool {
	engine := t.byID[engineID]
	return engine.StartKnown && at < engine.StartedAt+t.warmupTime
}

// set adds, updates or removes an endpoint.
func (t *endpointTable) set(e Endpoint) {
	if e.State == policy.EngineRemoved {
		delete(t.byID, e.ID)
	} else {
		t.byID[e.ID] = e
	}
}

// clear empties the table and returns its previous endpoints.
func (t *endpointTable) clear() (previous map[string]Endpoint) {
	previous = t.byID
	t.byID = map[string]Endpoint{}
	return previous
}

// UpdateEndpoints applies the endpoint list or a change to it, according to mode.
func (d *Dispatcher) UpdateEndpoints(mode policy.UpdateMode, endpoints []Endpoint) {
	d.counters.Increment(metrics.DiscoveryUpdates)
	var previous map[string]Endpoint // nil if the list is not complete
	if mode == policy.UpdateFull || mode == policy.UpdateCached {
		previous = d.endpoints.clear()
	}
	event := policy.EndpointsChanged{Mode: mode}
	for _, e := range endpoints {
		event.Engines = append(event.Engines, e.Engine)
		d.engineClient.UpdateEndpoint(e) // before the balancer may start an attempt at this endpoint
		d.endpoints.set(e)
	}
	for id, e := range previous {
		if _, listed := d.endpoints.byID[id]; !listed { // the engine client retires the engine's connections
			e.State = policy.EngineRemoved
			d.engineClient.UpdateEndpoint(e)
		}
	}
	d.handleEvent(event)
	d.withdrawFromUnready()
}

// withdrawFromUnready ends the attempts that wait for a connection to an engine
// that is draining or removed: by the time the connection is established, it may be
// too late to send a request to the engine.
func (d *Dispatcher) withdrawFromUnready() {
	var withdrawn []*Attempt
	for _, r := range d.requests.byID {
		for _, a := range r.attempts {
			if !a.Ended() && !d.endpoints.ready(a.Engine) && d.engineClient.Withdraw(a) {
				withdrawn = append(withdrawn, a)
			}
		}
	}
	slices.SortFunc(withdrawn, byRequest)
	for _, a := range withdrawn {
		d.EndAttempt(a, StatusNotSent, AttemptReport{})
	}
}

// byRequest orders attempts by the arrival of their request and then by their index. The order in which
// attempts are ended thus does not depend on the iteration order of a map.
func byRequest(a, b *Attempt) int {
	return cmp.Or(cmp.Compare(a.Request.policyID, b.Request.policyID), cmp.Compare(a.index, b.index))
}
