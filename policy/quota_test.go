package policy

import (
	"testing"
	"time"
)

// overQuota charges one request to the tenant's quota, and reports whether the request exceeds it.
func (h *harness) overQuota(tenant string) bool {
	return h.balancer.quotas.charge(tenant, h.balancer.traffic.share(), h.now)
}

func TestQuotas_CountOnlyRequestsBeyondTheQuota(t *testing.T) {
	s := settings()
	s.Replicas = 200
	s.Tenants = []Tenant{{Name: "t", Quota: 100, Share: 1}}
	h := newHarness(t, s, readyEngine("e", "a", 1))
	over := 0
	for id := uint64(1); id < 40; id++ { // one request every two seconds is the even share
		h.advance(2 * time.Second).handle(TimerFired{})
		if h.overQuota("t") {
			over++
		}
	}
	if over > 0 {
		t.Fatalf("%d of 39 requests within the quota were counted as beyond the quota", over)
	}
	for range 100 {
		if h.advance(100 * msec).handle(TimerFired{}); h.overQuota("t") {
			over++
		}
	}
	if over < 80 {
		t.Fatalf("at twenty times the quota only %d of 100 requests were counted as beyond the quota", over)
	}
}

func TestTrafficShare_FollowsLoadReportsWithoutTenants(t *testing.T) {
	s := settings()
	s.Replicas = 100
	h := newHarness(t, s, readyEngine("e", "a", 1), readyEngine("f", "a", 2))
	h.balancer.outliers.silence.progressInterval = time.Hour // so that no attempt is silent
	h.balancer.outliers.silence.timeout = time.Hour
	for id := uint64(1); id <= 8; id++ {
		h.arrive(id, "non-idempotent")
	}
	inFlight := float64(len(h.balancer.requests))
	if inFlight < 2 {
		t.Fatalf("%v requests in flight, too few to test with", inFlight)
	}
	for range 100 { // half of the requests in flight at the two engines are from this balancer
		h.handle(HealthChecked{
			Engine: "e", Result: ResultServed, Load: LoadReport{Reported: true, CPUShare: 0.5, InFlight: inFlight},
		})
		h.runFor(500 * msec)
	}
	if got := h.balancer.traffic.share(); got < 0.4 || got > 0.6 {
		t.Fatalf("the share is %.2f, although half of the requests in flight are from this balancer", got)
	}
	for range 200 {
		h.handle(HealthChecked{
			Engine: "e", Result: ResultServed, Load: LoadReport{Reported: true, CPUShare: 0.5, InFlight: inFlight * 60},
		})
	}
	if got := h.balancer.traffic.share(); got < 0.01 || got > 0.011 {
		t.Fatalf("the share is %v, want the even share of 0.01", got)
	}
}

// A balancer with far more than the even share of the traffic must learn its share within seconds. Its limits are
// proportional to the estimated share, so until then it rejects requests for which the engines have capacity.
func TestTrafficShare_ConvergesOnFirstReports(t *testing.T) {
	s := settings()
	s.Replicas = 100
	h := newHarness(t, s, readyEngine("e", "a", 1), readyEngine("f", "a", 2))
	h.balancer.outliers.silence.timeout = time.Hour
	for id := uint64(1); id <= 4; id++ {
		h.arrive(id, "non-idempotent")
	}
	inFlight := float64(len(h.balancer.requests))
	for range 6 { // 3 s in which a fifth of the requests in flight are from this balancer
		for range 10 {
			h.handle(HealthChecked{
				Engine: "e", Result: ResultServed,
				Load: LoadReport{Reported: true, CPUShare: -1, InFlight: inFlight * 2.5},
			})
		}
		h.runFor(500 * msec)
	}
	if got := h.balancer.traffic.share(); got < 0.15 || got > 0.25 {
		t.Fatalf("the share is %.3f after 3 s, want a fifth", got)
	}
}
