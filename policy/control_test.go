package policy

import (
	"math"
	"testing"
	"time"
)

func TestControlStepMatchesHandComputedValues(t *testing.T) {
	for _, c := range []struct{ bound, alpha, meanLatency, wantBound, wantAlpha float64 }{
		{10, 0.1, 1, 10, 0.1},                 // on the objective: alpha = .3*.1+.7*.1, nothing moves
		{10, 0.1, 2, 10 - 0.7/0.13, 0.13},     // alpha = .3*.2+.7*.1
		{8, 0.05, 0.4, 8 + 0.7/0.05*0.6, .05}, // alpha = .3*.05+.7*.05
	} {
		bound, alpha := controlStep(c.bound, c.alpha, c.meanLatency)
		if math.Abs(bound-c.wantBound) > 1e-9 || math.Abs(alpha-c.wantAlpha) > 1e-9 {
			t.Errorf("controlStep(%v, %v, %v) = %v, %v; want %v, %v", c.bound, c.alpha, c.meanLatency, bound, alpha, c.wantBound, c.wantAlpha)
		}
	}
}

func TestAdjustIgnoresIdlePeriodsAndKeepsFloor(t *testing.T) {
	h := newHarness(t, settings(), readyEngine("e", "a", 1))
	e := h.balancer.enginesByID["e"]
	bound, alpha := e.bound, e.alpha
	h.balancer.adjust(&e.controlLoop)
	if e.bound != bound || e.alpha != alpha {
		t.Fatalf("an idle period moved the loop to %v, %v", e.bound, e.alpha)
	}
	for i := 0; i < 50; i++ {
		e.latencySum, e.samples = 50, 1
		h.balancer.adjust(&e.controlLoop)
	}
	if e.bound <= 0 || e.bound >= 1 {
		t.Fatalf("bound %v, want a floor under one request's weight", e.bound)
	}
}

func TestMaxBoundFollowsTrafficShare(t *testing.T) {
	s := settings()
	s.Tenants = []Tenant{{Name: "t", Quota: 40, Share: 1}}
	busy, idle := newHarness(t, s, readyEngine("e", "a", 1)), newHarness(t, s, readyEngine("e", "a", 1))
	for id := uint64(1); id < 800; id++ {
		busy.advance(25 * msec).handle(RequestArrived{RequestID: id, Class: "idempotent", Tenant: "t", Deadline: busy.now + time.Second})
		busy.endAttempt(id, 0, ResultServed)
		if id%4 == 0 {
			busy.handle(TimerFired{})
			idle.advance(100 * msec).handle(TimerFired{})
		}
	}
	busyBound, idleBound := busy.balancer.enginesByID["e"].maxBound, idle.balancer.enginesByID["e"].maxBound
	if idleBound < maxBoundFactor*initialThreadsPerCore*8/2 {
		t.Fatalf("an idle balancer's maximum bound fell to %v", idleBound)
	}
	if busyBound < 1.3*idleBound {
		t.Fatalf("the busy balancer's maximum bound is %v, the idle one's %v", busyBound, idleBound)
	}
}

func TestMaxBoundShrinksPastTheKnee(t *testing.T) {
	h := newHarness(t, settings(), readyEngine("e", "a", 1))
	e := h.balancer.enginesByID["e"]
	serve := func(from uint64, latency time.Duration) {
		for id := from; id < from+200; id++ {
			h.arrive(id, "idempotent")
			h.handle(AttemptEnded{RequestID: id, Result: ResultServed, Elapsed: latency, Completed: true})
			h.advance(20 * msec).handle(TimerFired{})
		}
	}
	serve(1, 20*msec)
	before := e.maxBound
	serve(1000, 200*msec) // still under the objective of 300 ms
	if e.maxBound > 0.7*before {
		t.Fatalf("maximum bound %v after latencies of ten times the quick ones, %v before", e.maxBound, before)
	}
}

// A bound that one bad period has lowered far must not apply once the pressure is over.
func TestBoundAppliesOnlyUnderPressure(t *testing.T) {
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
		fleet := &h.balancer.fleet
		fleet.observe(c.latency, 1)
		h.balancer.adjust(fleet)
		fleet.bound = minBound
		fleet.backlog = 2
		h.advance(c.after).handle(ClientDisconnected{}) // only advances the clock
		req := &request{class: h.balancer.classes["idempotent"], weight: 1, quotaFactor: 1, valueFactor: 1}
		if admitted := h.balancer.fleetHasCapacity(req); admitted != c.admitted {
			t.Errorf("latency %v of the objective, %v later: admitted is %v", c.latency, c.after, admitted)
		}
	}
}

// runWithLoadReports serves 19 requests, whose engines report the share of their processors
// that is busy, and lets a second pass.
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

func TestBusyLoadReportsRemoveFleetHeadroom(t *testing.T) {
	s, list := manyBalancers(40)
	h := newHarness(t, s, list...)
	free := h.balancer.fleet.maxBound
	h.runWithLoadReports(1)
	if got := h.balancer.fleet.maxBound; got > maxBoundFactor*h.balancer.fleet.initialBound+0.05*free {
		t.Fatalf("maximum bound of the fleet %v with all engines reported busy, %v without reports", got, free)
	}
}

func TestIdleLoadReportsWidenFleetHeadroom(t *testing.T) {
	s, list := manyBalancers(40)
	h := newHarness(t, s, list...)
	before := h.balancer.fleet.maxBound
	if h.runWithLoadReports(0.2); h.balancer.fleet.maxBound < 1.5*before {
		t.Fatalf("maximum bound of the fleet %v with all engines reported idle, %v without reports", h.balancer.fleet.maxBound, before)
	}
}

func TestAttemptsCancelledAsSlowLowerMaxBound(t *testing.T) {
	h := newHarness(t, settings(), readyEngine("e", "a", 1))
	before := h.balancer.enginesByID["e"].maxBound
	for id := uint64(1); id < 9; id++ { // none of them is ever answered
		h.arrive(id, "wide")
		h.advance(500 * msec).handle(ProgressReported{RequestID: id, Kind: ProgressFraction, Value: 0.01})
		h.endAttempt(id, 0, ResultCancelled)
		h.handle(ClientDisconnected{RequestID: id})
		h.endAttempt(id, 1, ResultCancelled)
	}
	if h.runFor(time.Second); h.balancer.enginesByID["e"].maxBound > 0.8*before {
		t.Fatalf("maximum bound %v after eight attempts cancelled as slow, %v before", h.balancer.enginesByID["e"].maxBound, before)
	}
}

func TestManyBalancersTogetherStayNearEngineCapacity(t *testing.T) {
	s, list := manyBalancers(40)
	h := newHarness(t, s, list...)
	inFlight := 0.0
	for id := uint64(1); id < 200; id++ {
		for range startedAttempts(h.arrive(id, "wide")) {
			inFlight += 4
		}
	}
	if limit := 4 * 40 * 8 / 200.0; inFlight == 0 || inFlight > 4*limit {
		t.Fatalf("one of 200 balancers has %v threads in flight at 40 engines; its share of four threads a core is %v", inFlight, limit)
	}
}
