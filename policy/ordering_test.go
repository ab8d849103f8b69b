package policy

import (
	"testing"
	"time"
)

func TestOrderedRequests_WaitUntilEarlierEndedAndSettled(t *testing.T) {
	h := newHarness(t, settings(), readyEngine("e", "a", 1))
	arrive := func(id uint64) []Action {
		return h.handle(RequestArrived{RequestID: id, Class: "ordered", OrderKey: "x", Deadline: h.now + 5*time.Second})
	}
	h.wantAttempt(arrive(1), "e")
	h.wantNoAttempt(arrive(2))
	h.handle(ClientDisconnected{RequestID: 1})
	h.wantNoAttempt(h.handle(TimerFired{})) // its attempt is still in flight
	h.endAttempt(1, 0, ResultCancelled)
	h.wantNoAttempt(h.advance(500 * msec).handle(TimerFired{}))
	h.wantAttempt(h.advance(300*msec).handle(TimerFired{}), "e")
}
