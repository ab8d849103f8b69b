package policy

import "time"

// LearnedState returns all values that the balancer has learned, in a fixed order, for the characterization
// test.
func (b *Balancer) LearnedState() []float64 {
	values := []float64{
		b.quotas.total, b.fleet.target.threadsPerCore, b.traffic.meanWeight, b.fleet.target.maxThreads,
		b.selector.affinity.popularity.total, b.valueRanking.mean, b.load.mean,
		b.traffic.ownInFlight, b.traffic.reportedInFlight, b.traffic.reports, b.traffic.arrivalRate,
	}
	values = append(values, b.fleet.limiter.learnedValues(b.fleet.loadLevel)...)
	for _, e := range b.engines.all {
		values = append(values, e.limiter.learnedValues(0)...) // only the fleet has a load level
		values = append(values, e.cores, e.slowStart.firstSlot, e.load.threadsPerCore, e.outlier.faultRate)
		for _, instant := range []time.Duration{
			e.slowStart.endsAt, e.slowStart.noticedAt, e.slowStart.budgetSpentUntil,
			e.slowStart.endsAtBeforeAssumption, e.outlier.probationAt,
		} {
			values = append(values, float64(instant))
		}
	}
	for _, settings := range b.settings.Classes {
		c := b.classes[settings.Name]
		values = append(values, c.latencyMs, c.quickLatencyMs, c.workMs, c.latencySpread, c.estimateMs, c.grantFactor)
	}
	for _, settings := range b.settings.Tenants {
		values = append(values, b.quotas.tenants[settings.Name].bucket.tokens)
	}
	return values
}

func (l *limiter) learnedValues(loadLevel float64) []float64 {
	return []float64{
		l.initialLimit, l.maxLimit, l.limit, l.alpha, l.backlog, loadLevel, l.slowdown, l.latencySum,
		float64(l.samples), float64(l.pressuredUntil),
	}
}
