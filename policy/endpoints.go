package policy

// onEndpointsChanged applies the endpoint list or a change to it, or subscribes to it again.
func (b *Balancer) onEndpointsChanged(ev EndpointsChanged) {
	if ev.Mode == UpdateFailed && b.settings.PullDiscovery {
		b.emit(Subscribe{})
	}
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

// updateEndpoint adds or updates an engine. A new or restarted one gets initial values.
func (b *Balancer) updateEndpoint(endpoint Engine) {
	e := b.enginesByID[endpoint.ID]
	if e == nil {
		e = newEngine(endpoint.ID)
		b.enginesByID[endpoint.ID] = e
		b.engines = append(b.engines, e)
		b.resetEngine(e, endpoint.Kind)
	}
	if endpoint.StartKnown && e.reportedStart.isNew(endpoint.StartedAt) {
		b.resetEngine(e, endpoint.Kind)
		e.reportedStart.set(endpoint.StartedAt)
		e.startedAt, e.restartAssumed = b.estimateStart(endpoint.StartedAt), false
		e.warmupEndsAt = 0 // a new warm-up, with a new slot for large requests
		b.startWarmup(e, e.startedAt+b.settings.Rules.WarmupTime)
	}
	e.zone, e.kind, e.cell, e.state = endpoint.Zone, endpoint.Kind, endpoint.Cell, endpoint.State
}
