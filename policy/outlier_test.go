package policy

import (
	"testing"
	"time"
)

func TestSilence_EjectsTheEngineAndRetriesItsRequests(t *testing.T) {
	h := newHarness(t, settings(), readyEngine("silent", "a", 1))
	h.arrive(1, "wide")
	h.arrive(2, "idempotent")
	h.handle(EndpointsChanged{Mode: UpdateDelta, Engines: []Engine{readyEngine("good", "a", 1)}})
	actions := h.runFor(1500 * msec)
	if !hasAction[CancelAttempt](actions) || !hasAction[EngineEjected](actions) {
		t.Fatalf("want cancellations and an ejection, got %+v", actions)
	}
	h.wantNoAttempt(actions) // never two attempts in flight
	h.wantAttempt(h.endAttempt(1, 0, ResultCancelled), "good")
}

func TestSilence_OfOneAttemptEjectsNoEngine(t *testing.T) {
	h := newHarness(t, settings(), readyEngine("e", "a", 1))
	h.arrive(1, "wide")
	if actions := h.runFor(1500 * msec); hasAction[CancelAttempt](actions) {
		t.Fatalf("ejected for one silent attempt: %+v", actions)
	}
}

func TestSilence_OwnPauseEjectsNoEngine(t *testing.T) {
	h := newHarness(t, settings(), readyEngine("e", "a", 1))
	h.handle(TimerFired{})
	for id := uint64(1); id < 4; id++ {
		h.arrive(id, "wide")
		h.arrive(id+10, "idempotent")
	}
	if actions := h.advance(
		3 * time.Second,
	).handle(TimerFired{}); hasAction[CancelAttempt](actions) || hasAction[EngineEjected](actions) {
		t.Fatalf("a pause of the balancer was counted as silence of an engine: %+v", actions)
	}
}

func TestOutlierDetector_EjectsAnEngineThatFailsFast(t *testing.T) {
	h := newHarness(t, settings(), readyEngine("bad", "a", 1), readyEngine("good", "b", 2))
	sent := 0
	for id := uint64(1); id < 40; id++ {
		h.arrive(id, "idempotent")
		for n := range 4 {
			req := h.balancer.requests[id]
			if req == nil {
				break
			}
			result := ResultServed
			if req.attempts[n].engine.id == "bad" {
				result = ResultFailed
				sent++
			}
			h.endAttempt(id, n, result)
		}
	}
	if sent == 0 || sent > 8 {
		t.Fatalf("%d of the attempts went to the engine that responds with errors", sent)
	}
}

// If a connection breaks, all attempts on it end, but only one fault is counted. An attempt that is sent after the
// break may report progress sooner than a restarted process could. This shows that the engine did not restart. After
// a failure to connect, the engine is treated as restarted.
func TestOutlierDetector_CountsABrokenConnectionOnce(t *testing.T) {
	for _, c := range []struct {
		result  Result
		ejected bool
		warming bool
	}{{ResultConnectionLost, false, false}, {ResultConnectFailed, true, true}} {
		h := newHarness(t, settings(), readyEngine("e", "a", 1))
		h.advance(3 * time.Second).handle(TimerFired{})
		for id := uint64(1); id <= 4; id++ {
			h.arrive(id, "idempotent")
		}
		e := h.balancer.engines.all[0]
		for id := uint64(1); id <= 2; id++ {
			h.endAttempt(id, 0, c.result)
		}
		if got := e.outlier.ejected(); got != c.ejected {
			t.Errorf("%v: ejected is %v", c.result, got)
		}
		h.advance(200 * msec)
		for id := uint64(5); id < 9; id++ {
			if actions := h.arrive(id, "idempotent"); len(startedAttempts(actions)) > 0 {
				h.advance(50 * msec).handle(ProgressReported{RequestID: id, Kind: ProgressFraction, Value: 0.5})
				break
			}
		}
		if warming := e.slowStart.active(h.now); warming != c.warming {
			t.Errorf("%v: warming up is %v after a report on a later attempt", c.result, warming)
		}
	}
}

// A request may cause an error itself, so an error counts as a fault of the engine only once another engine has
// served the request. A request that fails on two engines is not sent to a third one.
func TestOutlierDetector_CountsAnErrorOnlyWhereAnotherEngineServes(t *testing.T) {
	h := newHarness(t, settings(), readyEngine("e", "a", 1), readyEngine("f", "a", 1), readyEngine("g", "a", 1))
	for id := uint64(1); id < 20; id++ {
		h.arrive(id, "idempotent")
		h.endAttempt(id, 0, ResultFailed)
		if actions := h.endAttempt(
			id, 1, ResultFailed,
		); len(startedAttempts(actions)) > 0 || !hasAction[Reject](actions) {
			t.Fatalf("after two errors: %+v", actions)
		}
	}
	for _, e := range h.balancer.engines.all {
		if rate := e.outlier.faultRate; rate > 0 {
			t.Errorf("engine %s has fault rate %v for requests that fail everywhere", e.id, rate)
		}
	}
	first := h.balancer.engines.byID[startedAttempts(h.arrive(20, "idempotent"))[0].Engine]
	h.endAttempt(20, 0, ResultFailed)
	if h.endAttempt(20, 1, ResultServed); first.outlier.faultRate == 0 {
		t.Error("no fault was counted for an error on a request that another engine served")
	}
}

// If an engine reports other attempts but not this one, the response of this attempt counts as lost. The attempt is
// retried if its class permits a retry. Waiting attempts are reported less often.
func TestLostResponse_IsRetried(t *testing.T) {
	for _, c := range []struct {
		class         string
		waiting, lost bool
	}{
		{"idempotent", false, true},
		{"keyed", false, true},
		{"non-idempotent", false, false},
		{"idempotent", true, false},
	} {
		s := settings()
		s.Classes[3].DedupWindow = 5 * time.Second
		h := newHarness(t, s, readyEngine("e", "a", 1))
		h.arrive(1, c.class)
		h.arrive(2, "non-idempotent")
		if c.waiting {
			h.handle(ProgressReported{RequestID: 1, Kind: ProgressAwaitingMemory})
		}
		retried := false
		for range 8 {
			h.handle(ProgressReported{RequestID: 2, Kind: ProgressAwaitingMemory})
			retried = retried || hasAction[CancelAttempt](h.runFor(400*msec))
		}
		if retried != c.lost {
			t.Errorf("%s, waiting %v: retried is %v", c.class, c.waiting, retried)
		}
	}
}

// stalled reports whether a class is stalled on the engine.
func (h *harness) stalled(e *engine, class string) bool {
	return e.classStalled(h.balancer.classes[class], h.balancer.now)
}

// A class may be stalled on an engine while another class runs there. For a time, the engine gets no requests of the
// stalled class. Then it gets one such request at a time until one of them reports progress.
func TestStalledClass_IsTriedOneRequestAtATime(t *testing.T) {
	h := newHarness(t, settings(), readyEngine("e", "a", 1), readyEngine("f", "a", 1))
	e := h.balancer.engines.byID["e"]
	sentToE := func(class string) (n int) {
		for id := uint64(100); id < 110; id++ {
			for _, s := range startedAttempts(h.arrive(id, class)) {
				if s.Engine == "e" {
					n++
				}
			}
			h.handle(ClientDisconnected{RequestID: id})
			for _, req := range h.balancer.requests {
				if req.id == id {
					h.endAttempt(id, 0, ResultCancelled)
				}
			}
		}
		return n
	}
	silent := map[uint64]bool{}
	for id := uint64(1); len(silent) < stalledAfterLost; id++ {
		if startedAttempts(h.arrive(id, "idempotent"))[0].Engine == "e" {
			silent[id] = true
		} else {
			h.endAttempt(id, 0, ResultServed)
		}
	}
	for range 4 {
		h.runFor(300 * msec)
		e.outlier.lastHeardAt = h.now // as if other classes had reported
	}
	if !h.stalled(e, "idempotent") || h.stalled(e, "non-idempotent") {
		t.Fatalf("lost responses %v should stall only the class idempotent", e.lostResponses.consecutive)
	}
	if n := sentToE("idempotent"); n > 0 {
		t.Errorf("%d more requests of the stalled class were sent to the engine", n)
	}
	other := readyEngine("f", "a", 1)
	other.State = EngineDraining
	h.handle(EndpointsChanged{Mode: UpdateDelta, Engines: []Engine{other}})
	if n := sentToE("non-idempotent"); n == 0 {
		t.Error("no request of the class that is not stalled was sent to the engine")
	}
	h.advance(3 * h.balancer.outliers.silence.timeout)
	for id := uint64(200); id < 220 && !h.stalled(e, "idempotent"); id++ {
		h.arrive(id, "idempotent")
	}
	if !h.stalled(e, "idempotent") {
		t.Error("the class is not stalled while one of its requests is in flight")
	}
	trial := e.inFlight[len(e.inFlight)-1]
	h.handle(ProgressReported{RequestID: trial.request.id, Attempt: trial.index, Kind: ProgressFraction, Value: 0.5})
	if h.stalled(e, "idempotent") {
		t.Error("the class is stalled after a progress report of one of its requests")
	}
}

func TestOverdueAttempt_IsRetriedWithoutProgressReports(t *testing.T) {
	s := settings()
	s.ProgressInterval = 0
	s.Limits.MaxAttempts = 2
	s.Classes[1].ObjectiveStretch = 2.5
	h := newHarness(t, s, readyEngine("e", "a", 1), readyEngine("f", "a", 2))
	first := startedAttempts(h.arrive(1, "wide"))
	if len(first) != 1 {
		t.Fatalf("want one attempt, got %+v", h.actions)
	}
	if actions := h.runFor(1500 * msec); hasAction[CancelAttempt](actions) {
		t.Fatalf("cancelled within the usual variation: %+v", actions)
	}
	// The usual latency is 1 s, and an attempt is overdue at twice that; the objective is 5.5 s.
	if actions := h.runFor(700 * msec); !hasAction[CancelAttempt](actions) {
		t.Fatalf("an attempt that takes twice the usual latency was not cancelled: %+v", actions)
	}
	second := startedAttempts(h.endAttempt(1, 0, ResultCancelled))
	if len(second) != 1 || second[0].Engine == first[0].Engine {
		t.Fatalf("want an attempt on another engine than %q, got %+v", first[0].Engine, second)
	}
	if actions := h.runFor(5 * time.Second); hasAction[CancelAttempt](actions) {
		t.Fatalf("cancelled although no attempt is left: %+v", actions)
	}
}
