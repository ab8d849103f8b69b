package policy

import (
	"testing"
	"time"
)

func TestProgress_AttemptWithBadPlanIsCancelledOnce(t *testing.T) {
	h := newHarness(t, settings(), readyEngine("e", "a", 1), readyEngine("f", "a", 1))
	h.handle(RequestArrived{RequestID: 1, Class: "wide", Deadline: h.now + 15*time.Second})
	h.advance(time.Second)
	if actions := h.handle(ProgressReported{
		RequestID: 1, Kind: ProgressFraction, Value: 0.01,
	}); !hasAction[CancelAttempt](actions) {
		t.Fatalf("an attempt with a bad plan was not cancelled: %+v", actions)
	}
	h.wantAttempt(h.endAttempt(1, 0, ResultCancelled), "")
	h.advance(time.Second)
	if actions := h.handle(ProgressReported{
		RequestID: 1, Attempt: 1, Kind: ProgressFraction, Value: 0.15,
	}); hasAction[CancelAttempt](actions) {
		t.Fatalf("an expensive request was cancelled twice: %+v", actions)
	}
}

func TestProgress_HopelessRequestIsRejectedEarly(t *testing.T) {
	h := newHarness(t, settings(), readyEngine("e", "a", 1), readyEngine("f", "a", 1))
	h.arrive(1, "wide")
	h.advance(time.Second).handle(ProgressReported{RequestID: 1, Kind: ProgressFraction, Value: 0.01})
	h.endAttempt(1, 0, ResultCancelled)
	actions := h.advance(time.Second).handle(ProgressReported{
		RequestID: 1, Attempt: 1, Kind: ProgressFraction, Value: 0.01,
	})
	if !hasAction[Reject](actions) || !hasAction[CancelAttempt](actions) {
		t.Fatalf("a second attempt that would end far past the deadline was not cancelled: %+v", actions)
	}
	h.wantNoAttempt(h.endAttempt(1, 1, ResultCancelled))
}

func TestProgress_LateAttemptFinishesIfRetryWouldBeLateToo(t *testing.T) {
	h := newHarness(t, settings(), readyEngine("e", "a", 1), readyEngine("f", "a", 1))
	h.arrive(1, "idempotent")
	if actions := h.advance(500 * msec).handle(ProgressReported{
		RequestID: 1, Kind: ProgressFraction, Value: 0.4,
	}); hasAction[CancelAttempt](actions) {
		t.Fatalf("cancelled although a retry would be late too: %+v", actions)
	}
}

func TestProgress_BlockedAttemptIsRetriedIfRetryMeetsObjective(t *testing.T) {
	for _, c := range []struct {
		class   string
		after   time.Duration
		retried bool
	}{{"wide", 500 * msec, true}, {"wide", 2500 * msec, false}, {"non-idempotent", 500 * msec, false}} {
		h := newHarness(t, settings(), readyEngine("e", "a", 1), readyEngine("f", "a", 1))
		first := startedAttempts(h.arrive(1, c.class))[0].Engine
		actions := h.advance(c.after).handle(ProgressReported{RequestID: 1, Kind: ProgressAwaitingLoad})
		if hasAction[CancelAttempt](actions) != c.retried {
			t.Fatalf("%s after %v: %+v", c.class, c.after, actions)
		}
		if c.retried {
			if actions = h.endAttempt(
				1, 0, ResultCancelled,
			); len(startedAttempts(actions)) != 1 || startedAttempts(actions)[0].Engine == first {
				t.Fatalf("the attempt on %s was not retried on the other engine: %+v", first, actions)
			}
		}
	}
}

// An attempt that waits for memory is retried only once. Otherwise, if all engines lack memory, every request would
// use up its attempts at once and have none left for faults.
func TestProgress_AttemptAwaitingMemoryIsRetriedOnce(t *testing.T) {
	h := newHarness(t, settings(), readyEngine("e", "a", 1), readyEngine("f", "a", 1), readyEngine("g", "a", 1))
	h.arrive(1, "wide")
	if actions := h.handle(ProgressReported{
		RequestID: 1, Kind: ProgressAwaitingMemory,
	}); !hasAction[CancelAttempt](actions) {
		t.Fatalf("the attempt was not retried: %+v", actions)
	}
	h.endAttempt(1, 0, ResultCancelled)
	if actions := h.handle(ProgressReported{
		RequestID: 1, Attempt: 1, Kind: ProgressAwaitingMemory,
	}); hasAction[CancelAttempt](actions) {
		t.Fatalf("the second attempt was retried too: %+v", actions)
	}
}
