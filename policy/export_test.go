package policy

// LearnedState lists every figure that the balancer has learned, in a fixed
// order, for the characterization test.
func (b *Balancer) LearnedState() []float64 {
	figures := []float64{
		b.totalQuota, b.threadsPerCore, b.traffic.meanWeight, b.maxThreads, b.popularity.total, b.meanRank, b.meanLoad,
		b.traffic.ownInFlight, b.traffic.reportedInFlight, b.traffic.reports, b.traffic.arrivalRate,
	}
	figures = append(figures, b.fleet.figures()...)
	for _, e := range b.engines {
		figures = append(figures, e.figures()...)
		figures = append(figures, e.cores, e.slotDraw, e.reportedLoad, e.faultRate,
			float64(e.warmupEndsAt), float64(e.warmupSeenAt), float64(e.budgetSpentUntil), float64(e.previousWarmupEndsAt), float64(e.probationAt))
	}
	for _, settings := range b.settings.Classes {
		c := b.classes[settings.Name]
		figures = append(figures, c.latencyMs, c.quickLatencyMs, c.workMs, c.latencySpread, c.estimateMs, c.grantFactor)
	}
	for _, settings := range b.settings.Tenants {
		figures = append(figures, b.tenants[settings.Name].bucket.tokens)
	}
	return figures
}

func (l *controlLoop) figures() []float64 {
	return []float64{l.initialBound, l.maxBound, l.bound, l.alpha, l.backlog, l.loadLevel, l.slowdown, l.latencySum, float64(l.samples), float64(l.pressuredUntil)}
}
