package policy

import (
	"math"
	"testing"
	"time"
)

func TestAdmit_RejectsBeyondTheLimitWithRetryAfter(t *testing.T) {
	h := newHarness(t, settings(), readyEngine("e", "a", 1))
	for id := uint64(1); id < 100; id++ {
		actions := h.arrive(id, "idempotent")
		if len(startedAttempts(actions)) > 0 {
			continue
		}
		for _, a := range actions {
			if reject, ok := a.(Reject); ok && reject.RetryAfter > 0 && reject.RetryAfter <= time.Second {
				return
			}
		}
		t.Fatalf("request %d: neither sent nor rejected with a retry-after: %+v", id, actions)
	}
	t.Fatal("no request was rejected")
}

func TestAssess_CapsTheWeightOfAnExpensiveRequest(t *testing.T) {
	s := settings()
	h := newHarness(t, s, readyEngine("e", "a", 1))
	for id := uint64(1); id <= 100; id++ {
		h.handle(RequestArrived{
			RequestID: id, Class: "wide", EstimatedWork: time.Millisecond, Deadline: h.now + 9*time.Second,
		})
		h.endAttempt(id, 0, ResultServed)
	}
	h.handle(RequestArrived{RequestID: 200, Class: "wide", EstimatedWork: time.Second, Deadline: h.now + 9*time.Second})
	if got, limit := h.balancer.requests[200], 2*4.0; got == nil || got.weight > limit {
		t.Fatalf("a request with a thousand times the usual work should have a weight of at most %v: %+v", limit, got)
	}
}

func TestFleetLimitFor_FollowsValueOverEstimatedWork(t *testing.T) {
	h := newHarness(t, settings(), readyEngine("e", "a", 1), readyEngine("f", "a", 2))
	id := uint64(0)
	limit := func(class string, work time.Duration) float64 {
		id++
		h.handle(RequestArrived{RequestID: id, Class: class, EstimatedWork: work, Deadline: h.now + time.Second})
		req := h.balancer.requests[id]
		if req == nil {
			t.Fatalf("request %d of %v rejected by an idle balancer", id, work)
		}
		got := h.balancer.fleet.limitFor(req, h.now)
		h.endAttempt(id, 0, ResultServed)
		return got
	}
	for range 50 {
		limit("idempotent", 100*msec)
	}
	short := limit("idempotent", 20*msec)
	usual := limit("idempotent", 100*msec)
	long := limit("idempotent", 900*msec)
	if short <= usual || usual <= long || short > 3.1*long {
		t.Fatalf("limits of a short, a usual and a long request: %.1f, %.1f, %.1f", short, usual, long)
	}
	if got := limit("idempotent", 0); math.Abs(got-usual) > usual/10 {
		t.Fatalf("limit of a request without an estimate is %.1f, of a usual request %.1f", got, usual)
	}
	for range 50 { // a priority weight of zero must not break the mean rank
		h.balancer.classes["idempotent"].PriorityWeight = 0
		limit("idempotent", 100*msec)
	}
	if math.IsNaN(h.balancer.valueRanking.mean) || math.IsInf(h.balancer.valueRanking.mean, 0) {
		t.Fatalf("mean rank is %v", h.balancer.valueRanking.mean)
	}
}

func TestReject_ReasonNamesTheCause(t *testing.T) {
	warming := readyEngine("e", "a", 1)
	warming.StartKnown = true
	warming.StartedAt = time.Minute
	draining := readyEngine("e", "a", 1)
	draining.State = EngineDraining
	for _, c := range []struct {
		want    RejectReason
		engine  Engine
		prepare func(b *Balancer, e *engine)
	}{
		{ReasonNoEndpoint, draining, func(*Balancer, *engine) {}},
		{ReasonSlowStart, warming, func(*Balancer, *engine) {}}, // the balancer itself has just started
		{ReasonEjected, readyEngine("e", "a", 1), func(_ *Balancer, e *engine) {
			e.outlier.eject(ejectedUntilActive, 0, time.Hour)
		}},
		{ReasonEngineLimit, readyEngine("e", "a", 1), func(_ *Balancer, e *engine) { e.limiter.backlog = 100 }},
		{ReasonFleetLimit, readyEngine("e", "a", 1), func(b *Balancer, _ *engine) { b.fleet.limiter.backlog = 100 }},
	} {
		h := newHarness(t, settings(), c.engine)
		c.prepare(h.balancer, h.balancer.engines.byID["e"])
		reason := ReasonUnknownClass
		for _, a := range h.arrive(1, "idempotent") {
			if reject, ok := a.(Reject); ok {
				reason = reject.Reason
			}
		}
		if reason != c.want {
			t.Errorf("rejected for %q, want %q", reason, c.want)
		}
	}
}

// A request with little value for its work may use a smaller share of an engine's limit, but only under pressure.
func TestEngineLimitFor_ValueFactorAppliesOnlyUnderPressure(t *testing.T) {
	h := newHarness(t, settings(), readyEngine("e", "a", 1))
	e := h.balancer.engines.byID["e"]
	expensive := &request{class: h.balancer.classes["wide"], weight: 4, quotaFactor: 1, valueFactor: 0.5}
	fullLimit := e.limiter.maxLimit
	unpressured := e.limitFor(expensive, h.now)
	e.limiter.pressuredUntil = h.now + time.Second
	e.limiter.limit = fullLimit
	pressured := e.limitFor(expensive, h.now)
	if unpressured != fullLimit || pressured != fullLimit/2 {
		t.Errorf(
			"of a limit of %.1f the request may use %.1f without and %.1f under pressure, want all and half of it",
			fullLimit, unpressured, pressured,
		)
	}
}
