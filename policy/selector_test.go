package policy

import (
	"testing"
	"time"
)

func TestSelector_SendsNothingToDrainingAndRemovedEngines(t *testing.T) {
	h := newHarness(t, settings(), readyEngine("e", "a", 1), readyEngine("f", "a", 1))
	e := readyEngine("e", "a", 1)
	e.State = EngineDraining
	h.handle(EndpointsChanged{Mode: UpdateDelta, Engines: []Engine{e}})
	h.wantAttempt(h.arrive(1, "idempotent"), "f")
	h.handle(EndpointsChanged{Mode: UpdateFull, Engines: []Engine{e}})
	h.wantNoAttempt(h.arrive(2, "idempotent"))
}

func TestSelector_SendsNothingOutsidePermittedZones(t *testing.T) {
	h := newHarness(t, settings(), readyEngine("e", "a", 1))
	h.wantNoAttempt(h.arrive(1, "placed"))
	h.handle(EndpointsChanged{Mode: UpdateDelta, Engines: []Engine{readyEngine("f", "b", 1)}})
	h.wantAttempt(h.arrive(2, "placed"), "f")
	h.wantAttempt(h.endAttempt(2, 0, ResultFailed), "f")
}

func TestSelector_ReadersAvoidAnEngineWithBulkLoad(t *testing.T) {
	s := settings()
	s.Classes[2].BulkLoad = true
	s.Classes[0].BlockedByLoad = true
	h := newHarness(t, s, readyEngine("e", "a", 1), readyEngine("f", "a", 1))
	arrive := func(id uint64, class string) string {
		actions := h.handle(RequestArrived{RequestID: id, Class: class, Dataset: 7, Deadline: h.now + 9*time.Second})
		return startedAttempts(actions)[0].Engine
	}
	loading := arrive(1, "non-idempotent")
	for id := uint64(2); id < 5; id++ {
		if got := arrive(id, "idempotent"); got == loading {
			t.Fatalf("request %d went to %s, where a bulk load blocks its data set", id, got)
		}
	}
}

func TestSelector_ChoosesEqualEnginesAtRandom(t *testing.T) {
	s, list := manyBalancers(20)
	chosen := map[string]bool{}
	for seed := uint64(1); seed < 60; seed++ {
		b := mustNew(t, s, seed)
		b.Handle(0, EndpointsChanged{Mode: UpdateFull, Engines: list}, nil)
		actions := b.Handle(
			0, RequestArrived{RequestID: 1, Class: "idempotent", Dataset: int64(seed), Deadline: time.Second}, nil,
		)
		for _, a := range startedAttempts(actions) {
			chosen[a.Engine] = true
		}
	}
	if len(chosen) < 12 {
		t.Fatalf("the first requests of 60 balancers went to %d of 20 engines", len(chosen))
	}
}

func TestSelector_SpreadsOversizedRequestsOverEngines(t *testing.T) {
	s, list := manyBalancers(30)
	chosen := map[string]int{}
	for seed := uint64(1); seed < 90; seed++ {
		b := mustNew(t, s, seed)
		b.Handle(0, EndpointsChanged{Mode: UpdateFull, Engines: list}, nil)
		for _, e := range b.engines.all {
			e.limiter.maxLimit = 3 // below the request's weight of 4
		}
		for _, a := range startedAttempts(b.Handle(
			0, RequestArrived{RequestID: 1, Class: "wide", Dataset: int64(seed), Deadline: time.Second}, nil,
		)) {
			chosen[a.Engine]++
		}
	}
	for id, n := range chosen {
		if n > 12 {
			t.Fatalf("%d of 89 oversized requests went to %s", n, id)
		}
	}
	if len(chosen) < 15 {
		t.Fatalf("oversized requests went to %d of 30 engines", len(chosen))
	}
}

func TestSelector_PrefersAFitToAnOversizedPlacement(t *testing.T) {
	s, list := manyBalancers(2)
	for seed := uint64(1); seed < 60; seed++ {
		b := mustNew(t, s, seed)
		b.Handle(0, EndpointsChanged{Mode: UpdateFull, Engines: list}, nil)
		near := b.engines.all[0]
		far := b.engines.all[1]
		if affinity(near.idHash, 7) < affinity(far.idHash, 7) {
			near, far = far, near
		}
		far.zone = "b"
		near.limiter.maxLimit = 3.9 // below the request's weight of 4, but near and in the balancer's zone
		for _, a := range startedAttempts(b.Handle(
			0, RequestArrived{RequestID: 1, Class: "wide", Dataset: 7, Deadline: time.Second}, nil,
		)) {
			if a.Engine != far.id {
				t.Fatalf("seed %d: sent to %s, whose limit it exceeds, although it fits %s", seed, near.id, far.id)
			}
		}
	}
}
