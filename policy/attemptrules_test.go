package policy

import (
	"testing"
	"time"
)

func TestAttemptRules_NonIdempotentIsRetriedOnlyWhenItNeverRan(t *testing.T) {
	for result, wantRetry := range map[Result]bool{
		ResultOverloaded: true, ResultConnectFailed: true, ResultNotSent: true, ResultFailed: false,
		ResultTimedOut: false, ResultConnectionLost: false, ResultCancelled: false, ResultUnknown: false,
	} {
		h := newHarness(t, settings(), readyEngine("e", "a", 1), readyEngine("f", "a", 1))
		h.arrive(1, "non-idempotent")
		actions := h.endAttempt(1, 0, result)
		retried := len(startedAttempts(actions)) == 1
		if retried != wantRetry || hasAction[Reject](actions) || hasAction[Fail](actions) == wantRetry {
			t.Errorf("after result %d: %+v", result, actions)
		}
	}
}

func TestAttemptRules_IdempotencyKeyLimitsRetriesToScopeAndWindow(t *testing.T) {
	h := newHarness(t, settings(), readyEngine("e", "a", 1), readyEngine("f", "a", 2))
	first := startedAttempts(h.arrive(1, "keyed"))[0].Engine
	h.wantAttempt(h.endAttempt(1, 0, ResultFailed), first)
	h.advance(1100 * msec)
	actions := h.endAttempt(1, 1, ResultFailed)
	if len(startedAttempts(actions)) != 0 || !hasAction[Fail](actions) {
		t.Fatalf("after the window of the idempotency key: %+v", actions)
	}
}

// Guards against a key that is sent to a second engine which does not know it, because discovery reports no cells or no
// zones.
func TestAttemptRules_EnginesOfUnknownPlaceShareNoKeys(t *testing.T) {
	for name, scope := range map[string]DedupScope{"cell": ScopeCell, "zone": ScopeZone} {
		t.Run(name, func(t *testing.T) {
			s := settings()
			for i := range s.Classes {
				s.Classes[i].DedupScope = scope
			}
			first, second := readyEngine("e", "", 0), readyEngine("f", "", 0)
			first.CellKnown, second.CellKnown = false, false
			h := newHarness(t, s, first, second)
			started := startedAttempts(h.arrive(1, "keyed"))[0].Engine
			h.handle(EndpointsChanged{Mode: UpdateDelta, Engines: []Engine{{ID: started, State: EngineRemoved}}})
			actions := h.endAttempt(1, 0, ResultConnectionLost)
			if len(startedAttempts(actions)) != 0 || !hasAction[Fail](actions) {
				t.Errorf("after the engine has died: %+v", actions)
			}
		})
	}
}

func TestRetryBudget_LimitsRetries(t *testing.T) {
	s := settings()
	s.Rules.RetryBudgetWindow = time.Second
	s.Rules.RetryBudgetMin = 1
	s.Rules.RetryBudgetRatio = 0.1
	h := newHarness(t, s, readyEngine("e", "a", 1), readyEngine("f", "a", 1))
	h.arrive(1, "idempotent")
	h.arrive(2, "idempotent")
	h.wantAttempt(h.endAttempt(1, 0, ResultOverloaded), "")
	h.wantNoAttempt(h.endAttempt(2, 0, ResultOverloaded))
}

func TestRetryBudget_IsNotSpentOnBlockedAttempts(t *testing.T) {
	for _, window := range []time.Duration{0, 10 * time.Second} {
		s := settings()
		s.Rules.RetryBudgetWindow = window
		s.Rules.RetryBudgetMin = 5
		h := newHarness(t, s, readyEngine("e", "a", 1), readyEngine("f", "a", 2))
		h.arrive(1, "wide")
		actions := h.advance(500 * msec).handle(ProgressReported{RequestID: 1, Kind: ProgressAwaitingMemory, Value: 1})
		if retried := hasAction[CancelAttempt](actions); retried != (window == 0) {
			t.Errorf("budget window %v: retried is %v", window, retried)
		}
	}
}
