package policy

import "math"

const (
	quotaBurstSpread  = 2.0 // standard deviations of a second's arrivals by which a quota may be exceeded
	maxRateWindow     = 80  // control periods that the arrival rate is averaged over
	firstRateWindow   = 4   // the same in the first period: one period's arrivals scatter
	maxInFlightWindow = 40  // control periods, and load reports, that requests in flight are averaged over
	weightWindow      = 20  // attempts that the mean weight is averaged over
)

// overQuota charges a request to this balancer's share of its tenant's quota; unknown tenants have none.
func (b *Balancer) overQuota(name string) bool {
	t := b.tenants[name]
	if t == nil {
		return len(b.tenants) > 0
	}
	rate := t.Quota * b.trafficShare()
	return !t.bucket.take(b.now, rate, rate+quotaBurstSpread*math.Sqrt(rate)+1)
}

// trafficShare estimates this balancer's share of all traffic, by arrivals or else by requests in flight.
func (b *Balancer) trafficShare() float64 {
	even := 1 / float64(b.settings.Replicas)
	if b.totalQuota <= 0 {
		return min(max(b.traffic.ownInFlight/max(b.traffic.reportedInFlight, 1), even), 1)
	}
	return min(max(b.traffic.arrivalRate/b.totalQuota, even), 1)
}
