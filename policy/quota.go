package policy

import (
	"math"
	"time"
)

const quotaBurstSpread = 2.0 // standard deviations of a second's arrivals by which a quota may be exceeded

// quotas decides which requests exceed this front end's share of their tenant's quota.
type quotas struct {
	tenants map[string]*tenant
	total   float64 // sum of all quotas, in requests a second
}

// tenant is a Tenant with the state of its quota.
type tenant struct {
	Tenant
	bucket tokenBucket
}

func newQuotas(tenants []Tenant) quotas {
	q := quotas{tenants: map[string]*tenant{}}
	for _, t := range tenants {
		q.tenants[t.Name] = &tenant{Tenant: t, bucket: tokenBucket{tokens: t.Quota + 1}}
		q.total += t.Quota
	}
	return q
}

// charge charges a request to this front end's share of its tenant's quota, and reports whether the request
// exceeds it. A tenant that the settings do not name has a quota of zero. If the settings name no tenants,
// there are no quotas to exceed.
func (q *quotas) charge(name string, trafficShare float64, now time.Duration) (exceeded bool) {
	t := q.tenants[name]
	if t == nil {
		return len(q.tenants) > 0
	}
	rate := t.Quota * trafficShare
	return !t.bucket.take(now, rate, rate+quotaBurstSpread*math.Sqrt(rate)+1)
}
