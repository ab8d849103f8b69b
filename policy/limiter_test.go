package policy

import (
	"math"
	"testing"
	"time"
)

func TestControlStep_MatchesHandComputedValues(t *testing.T) {
	for _, c := range []struct{ limit, alpha, meanLatency, wantLimit, wantAlpha float64 }{
		{10, 0.1, 1, 10, 0.1},                 // on the objective: alpha = .3*.1+.7*.1, nothing changes
		{10, 0.1, 2, 10 - 0.7/0.13, 0.13},     // alpha = .3*.2+.7*.1
		{8, 0.05, 0.4, 8 + 0.7/0.05*0.6, .05}, // alpha = .3*.05+.7*.05
	} {
		limit, alpha := controlStep(c.limit, c.alpha, c.meanLatency)
		if math.Abs(limit-c.wantLimit) > 1e-9 || math.Abs(alpha-c.wantAlpha) > 1e-9 {
			t.Errorf("controlStep(%v, %v, %v) = %v, %v; want %v, %v",
				c.limit, c.alpha, c.meanLatency, limit, alpha, c.wantLimit, c.wantAlpha)
		}
	}
}

func TestLimiter_IgnoresIdlePeriodsAndKeepsItsFloor(t *testing.T) {
	h := newHarness(t, settings(), readyEngine("e", "a", 1))
	limiter := &h.balancer.engines.byID["e"].limiter
	before := *limiter
	limiter.endPeriod(h.now)
	if limiter.limit != before.limit || limiter.alpha != before.alpha {
		t.Fatalf("an idle period changed the limit to %v and alpha to %v", limiter.limit, limiter.alpha)
	}
	for range 50 {
		limiter.latencySum = 50
		limiter.samples = 1
		limiter.endPeriod(h.now)
	}
	if limiter.limit <= 0 || limiter.limit >= 1 {
		t.Fatalf("limit %v, want a minimum above 0 and below one request's weight", limiter.limit)
	}
}

func TestMaxLimit_FollowsTrafficShare(t *testing.T) {
	s := settings()
	s.Tenants = []Tenant{{Name: "t", Quota: 40, Share: 1}}
	busy := newHarness(t, s, readyEngine("e", "a", 1))
	idle := newHarness(t, s, readyEngine("e", "a", 1))
	for id := uint64(1); id < 800; id++ {
		busy.advance(25 * msec).handle(RequestArrived{
			RequestID: id, Class: "idempotent", Tenant: "t", Deadline: busy.now + time.Second,
		})
		busy.endAttempt(id, 0, ResultServed)
		if id%4 == 0 {
			busy.handle(TimerFired{})
			idle.advance(100 * msec).handle(TimerFired{})
		}
	}
	busyLimit := busy.balancer.engines.byID["e"].limiter.maxLimit
	idleLimit := idle.balancer.engines.byID["e"].limiter.maxLimit
	if idleLimit < maxLimitFactor*initialThreadsPerCore*8/2 {
		t.Fatalf("an idle balancer's maximum limit fell to %v", idleLimit)
	}
	if busyLimit < 1.3*idleLimit {
		t.Fatalf("the busy balancer's maximum limit is %v, the idle one's %v", busyLimit, idleLimit)
	}
}

func TestMaxLimit_ShrinksPastTheKnee(t *testing.T) {
	h := newHarness(t, settings(), readyEngine("e", "a", 1))
	limiter := &h.balancer.engines.byID["e"].limiter
	serve := func(from uint64, latency time.Duration) {
		for id := from; id < from+200; id++ {
			h.arrive(id, "idempotent")
			h.handle(AttemptEnded{RequestID: id, Result: ResultServed, Elapsed: latency, Completed: true})
			h.advance(20 * msec).handle(TimerFired{})
		}
	}
	serve(1, 20*msec)
	before := limiter.maxLimit
	serve(1000, 200*msec) // still under the objective of 300 ms
	if limiter.maxLimit > 0.7*before {
		t.Fatalf("maximum limit %v after latencies ten times as long, %v before", limiter.maxLimit, before)
	}
}

// A limit that one period of high latency has lowered a lot must not apply once the pressure is over.
func TestLimiter_LimitAppliesOnlyUnderPressure(t *testing.T) {
	for _, c := range []struct {
		latency  float64 // relative to the objective
		after    time.Duration
		admitted bool
	}{
		{3, controlPeriod, false},
		{3, 3 * controlPeriod, true},
		{0.5, 0, true},
	} {
		h := newHarness(t, settings(), readyEngine("e", "a", 1))
		limiter := &h.balancer.fleet.limiter
		limiter.observe(c.latency, 1)
		limiter.endPeriod(h.now)
		limiter.limit = minLimit
		limiter.backlog = 2
		h.advance(c.after).handle(ClientDisconnected{}) // only advances the clock
		req := &request{class: h.balancer.classes["idempotent"], weight: 1, quotaFactor: 1, valueFactor: 1}
		if admitted := h.balancer.fleet.admits(req, h.balancer.now, h.balancer.rng); admitted != c.admitted {
			t.Errorf("latency %v times the objective, %v later: admitted is %v", c.latency, c.after, admitted)
		}
	}
}

// runWithLoadReports serves 19 requests, whose engines report the given share of their cores as busy, and then runs
// for one second.
func (h *harness) runWithLoadReports(cpuShare float64) {
	for id := uint64(1); id < 20; id++ {
		h.arrive(id, "idempotent")
		h.handle(AttemptEnded{
			RequestID: id, Result: ResultServed, Elapsed: 50 * msec, Completed: true,
			Load: LoadReport{Reported: true, CPUShare: cpuShare, InFlight: -1},
		})
	}
	h.runFor(time.Second)
}

func TestFleet_BusyLoadReportsRemoveHeadroom(t *testing.T) {
	s, list := manyBalancers(40)
	h := newHarness(t, s, list...)
	fleet := &h.balancer.fleet.limiter
	free := fleet.maxLimit
	h.runWithLoadReports(1)
	if got := fleet.maxLimit; got > maxLimitFactor*fleet.initialLimit+0.05*free {
		t.Fatalf("maximum limit of the fleet is %v if all engines are busy, %v without reports", got, free)
	}
}

func TestFleet_IdleLoadReportsWidenHeadroom(t *testing.T) {
	s, list := manyBalancers(40)
	h := newHarness(t, s, list...)
	fleet := &h.balancer.fleet.limiter
	before := fleet.maxLimit
	if h.runWithLoadReports(0.2); fleet.maxLimit < 1.5*before {
		t.Fatalf(
			"maximum limit of the fleet is %v if all engines are idle, %v without reports", fleet.maxLimit, before,
		)
	}
}

func TestMaxLimit_FallsWithAttemptsCancelledAsSlow(t *testing.T) {
	h := newHarness(t, settings(), readyEngine("e", "a", 1))
	limiter := &h.balancer.engines.byID["e"].limiter
	before := limiter.maxLimit
	for id := uint64(1); id < 9; id++ { // none of the requests has a response
		h.arrive(id, "wide")
		h.advance(500 * msec).handle(ProgressReported{RequestID: id, Kind: ProgressFraction, Value: 0.01})
		h.endAttempt(id, 0, ResultCancelled)
		h.handle(ClientDisconnected{RequestID: id})
		h.endAttempt(id, 1, ResultCancelled)
	}
	if h.runFor(time.Second); limiter.maxLimit > 0.8*before {
		t.Fatalf("maximum limit %v after eight attempts cancelled as slow, %v before", limiter.maxLimit, before)
	}
}

func TestLimits_OfManyBalancersStayNearEngineCapacity(t *testing.T) {
	s, list := manyBalancers(40)
	h := newHarness(t, s, list...)
	inFlight := 0.0
	for id := uint64(1); id < 200; id++ {
		for range startedAttempts(h.arrive(id, "wide")) {
			inFlight += 4
		}
	}
	if limit := 4 * 40 * 8 / 200.0; inFlight == 0 || inFlight > 4*limit {
		t.Fatalf(
			"one of 200 balancers has %v threads in flight at 40 engines; its share of four threads per core is %v",
			inFlight, limit,
		)
	}
}
