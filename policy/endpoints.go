package policy

import (
	"maps"
	"slices"
	"time"
)

// engineTable holds the engines that the endpoint list has named, until they are removed and nothing
// of them is in flight.
type engineTable struct {
	all  []*engine // in order of first sight
	byID map[string]*engine
}

func newEngineTable() engineTable { return engineTable{byID: map[string]*engine{}} }

func (t *engineTable) add(e *engine) {
	t.byID[e.id] = e
	t.all = append(t.all, e)
}

// prune drops engines that are removed, idle and not warming up, and the bulk loads of the others that are
// over. An engine that is warming up stays, since it may be listed again and its budget is partly spent.
func (t *engineTable) prune(now time.Duration) {
	obsolete := func(e *engine) bool {
		return e.state == EngineRemoved && len(e.inFlight) == 0 && !e.slowStart.active(now)
	}
	t.all = slices.DeleteFunc(t.all, obsolete)
	maps.DeleteFunc(t.byID, func(_ string, e *engine) bool { return obsolete(e) })
	for _, e := range t.all {
		maps.DeleteFunc(e.bulkLoads, func(_ int64, until time.Duration) bool { return now >= until })
	}
}

// onEndpointsChanged applies the endpoint list or a change to it, or subscribes to it again.
func (b *Balancer) onEndpointsChanged(ev EndpointsChanged) {
	if ev.Mode == UpdateFailed && b.settings.PullDiscovery {
		b.actions.add(Subscribe{})
	}
	if ev.Mode == UpdateFull || ev.Mode == UpdateCached {
		for _, e := range b.engines.all {
			e.state = EngineRemoved // unless the list names it
		}
	}
	for _, endpoint := range ev.Engines {
		b.updateEndpoint(endpoint)
	}
	b.fleet.rescale(b.engines.all, b.now)
}

// updateEndpoint adds or updates an engine. A new or restarted one gets initial values.
func (b *Balancer) updateEndpoint(endpoint Engine) {
	cores := b.settings.coresOf(endpoint.Kind)
	e := b.engines.byID[endpoint.ID]
	added := e == nil
	if added {
		e = newEngine(endpoint.ID, &b.slowStart)
		b.engines.add(e)
	}
	restarted := endpoint.StartKnown && e.slowStart.reported.differs(endpoint.StartedAt)
	if added || restarted {
		e.reset(cores, b.fleet.target, b.traffic.share(), b.now)
	}
	if restarted {
		e.slowStart.onReportedStart(b.now, endpoint.StartedAt, b.rng)
	}
	e.zone = endpoint.Zone
	e.kind = endpoint.Kind
	e.cell = endpoint.Cell
	e.state = endpoint.State
}
