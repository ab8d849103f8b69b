package policy

import (
	"maps"
	"slices"
	"time"
)

// engineTable holds the engines that the endpoint list has named. prune drops them once they are no longer
// needed.
type engineTable struct {
	all  []*engine // in the order in which the endpoint list first named them
	byID map[string]*engine
}

func newEngineTable() engineTable { return engineTable{byID: map[string]*engine{}} }

func (t *engineTable) add(e *engine) {
	t.byID[e.id] = e
	t.all = append(t.all, e)
}

// prune drops engines that are removed, idle and not warming up. It also drops the expired bulk loads of all
// other engines. An engine that is warming up stays, since it may be listed again with a partly spent budget.
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

// onEndpointsChanged applies the endpoint list or a change to it. After a failure it subscribes again if the
// list must be subscribed to.
func (b *Balancer) onEndpointsChanged(ev EndpointsChanged) {
	if ev.Mode == UpdateFailed && b.settings.PullDiscovery {
		b.actions.add(Subscribe{})
	}
	if ev.Mode == UpdateFull || ev.Mode == UpdateCached {
		for _, e := range b.engines.all {
			e.state = EngineRemoved // until updateEndpoint sets the state of listed engines
		}
	}
	for _, endpoint := range ev.Engines {
		b.updateEndpoint(endpoint)
	}
	b.fleet.rescale(b.engines.all, b.now)
}

// updateEndpoint adds or updates an engine. It resets the limits and the outlier state of an engine that is
// new or has restarted.
func (b *Balancer) updateEndpoint(endpoint Engine) {
	cores := b.settings.coresOf(endpoint.Kind)
	e := b.engines.byID[endpoint.ID]
	added := e == nil
	if added {
		e = newEngine(endpoint.ID, &b.slowStartRules)
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
	e.cellKnown = endpoint.CellKnown
	e.state = endpoint.State
}
