package policy

import "time"

// LearnedState returns all values that the balancer has learned, in a fixed order, for the characterization
// test.
func (b *Balancer) LearnedState() []float64 {
	figures := []float64{
		b.quotas.total, b.fleet.target.threadsPerCore, b.traffic.meanWeight, b.fleet.target.maxThreads,
		b.selector.affinity.popularity.total, b.valueRanking.mean, b.load.mean,
		b.traffic.ownInFlight, b.traffic.reportedInFlight, b.traffic.reports, b.traffic.arrivalRate,
	}
	figures = append(figures, b.fleet.limiter.figures(b.fleet.loadLevel)...)
	for _, e := range b.engines.all {
		figures = append(figures, e.limiter.figures(0)...) // only the fleet has a load level
		figures = append(figures, e.cores, e.slowStart.firstSlot, e.load.threadsPerCore, e.outlier.faultRate)
		for _, instant := range []time.Duration{
			e.slowStart.endsAt, e.slowStart.noticedAt, e.slowStart.budgetSpentUntil,
			e.slowStart.endsAtBeforeAssumption, e.outlier.probationAt,
		} {
			figures = append(figures, float64(instant))
		}
	}
	for _, settings := range b.settings.Classes {
		c := b.classes[settings.Name]
		figures = append(figures, c.latencyMs, c.quickLatencyMs, c.workMs, c.latencySpread, c.estimateMs, c.grantFactor)
	}
	for _, settings := range b.settings.Tenants {
		figures = append(figures, b.quotas.tenants[settings.Name].bucket.tokens)
	}
	return figures
}

func (l *limiter) figures(loadLevel float64) []float64 {
	return []float64{
		l.initialLimit, l.maxLimit, l.limit, l.alpha, l.backlog, loadLevel, l.slowdown, l.latencySum,
		float64(l.samples), float64(l.pressuredUntil),
	}
}
