package policy

import "math"

// quotaBurstSpread is the number of standard deviations of a second's arrivals by which a tenant may
// exceed its quota: few requests a second arrive unevenly.
const quotaBurstSpread = 2.0

// overQuota takes one request from the tenant's quota, as far as this balancer's share of the traffic
// goes. Requests of unknown tenants are beyond their quota.
func (b *Balancer) overQuota(name string) bool {
	t := b.tenants[name]
	if t == nil {
		return len(b.tenants) > 0
	}
	rate := t.Quota * b.trafficShare()
	return !t.bucket.take(b.now, rate, rate+quotaBurstSpread*math.Sqrt(rate)+1)
}

// trafficShare estimates this balancer's share of all traffic: at least an even one. It compares own
// arrivals to the quotas or, without quotas, own requests in flight to the number that engines report.
func (b *Balancer) trafficShare() float64 {
	even := 1 / float64(b.settings.Replicas)
	if b.totalQuota <= 0 {
		return min(max(b.traffic.ownInFlight/max(b.traffic.reportedInFlight, 1), even), 1)
	}
	return min(max(b.traffic.arrivalRate/b.totalQuota, even), 1)
}
