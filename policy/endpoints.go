package policy

import (
	"maps"
	"slices"
	"time"
)

// updateEndpoints takes the endpoint list or a change to it.
func (b *Balancer) updateEndpoints(ev EndpointsChanged) {
	if ev.Mode == UpdateFull || ev.Mode == UpdateCached {
		for _, e := range b.engines {
			e.state = EngineRemoved // unless the list names it
		}
	}
	for _, endpoint := range ev.Engines {
		b.updateEndpoint(endpoint)
	}
	b.scaleFleet()
}

// updateEndpoint adds or updates an engine. One that is new or restarted begins anew.
func (b *Balancer) updateEndpoint(endpoint Engine) {
	e := b.enginesByID[endpoint.ID]
	if e == nil {
		e = newEngine(endpoint.ID)
		b.enginesByID[endpoint.ID] = e
		b.engines = append(b.engines, e)
		b.resetEngine(e, endpoint.Kind)
	}
	if endpoint.StartKnown && endpoint.StartedAt > e.startedAt {
		b.resetEngine(e, endpoint.Kind)
		e.startedAt, e.restartAssumed = endpoint.StartedAt, false
		e.warmupEndsAt = 0 // a new warm-up, with a new slot for large requests
		b.startWarmup(e, endpoint.StartedAt+b.settings.Rules.WarmupTime)
	}
	e.zone, e.kind, e.cell, e.state = endpoint.Zone, endpoint.Kind, endpoint.Cell, endpoint.State
}

// prune forgets what no decision needs any more: a balancer runs for months.
func (b *Balancer) prune() {
	b.retryWindow.expire(b.now - b.settings.Rules.RetryBudgetWindow)
	b.engines = slices.DeleteFunc(b.engines, func(e *engine) bool {
		maps.DeleteFunc(e.datasetLoadingUntil, func(_ int64, until time.Duration) bool { return b.now >= until })
		obsolete := e.state == EngineRemoved && len(e.inFlight) == 0 && b.now >= e.warmupEndsAt
		if obsolete {
			delete(b.enginesByID, e.id)
		}
		return obsolete
	})
	maps.DeleteFunc(b.keyQueues, func(_ string, queue *keyQueue) bool { return queue.idle(b.now) })
}
