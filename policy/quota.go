package policy

import (
	"math"
	"time"
)

const quotaBurstSpread = 2.0 // standard deviations of a second's arrivals by which a quota may be exceeded

// quotas decides which requests are beyond the quota of their tenant, by this front end's share of it.
type quotas struct {
	tenants map[string]*tenant
	total   float64 // requests a second, of all tenants
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
// is beyond that. A tenant that the settings don't name has a quota of zero. Without any tenants in the
// settings nothing is exceeded.
func (q *quotas) charge(name string, trafficShare float64, now time.Duration) (exceeded bool) {
	t := q.tenants[name]
	if t == nil {
		return len(q.tenants) > 0
	}
	rate := t.Quota * trafficShare
	return !t.bucket.take(now, rate, rate+quotaBurstSpread*math.Sqrt(rate)+1)
}
