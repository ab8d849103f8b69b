package policy

import (
	"fmt"
	"testing"
	"time"
)

func TestBalancer_StateStaysBoundedOverLongRun(t *testing.T) {
	s := settings()
	s.Classes[0].BlockedByLoad = true
	s.Rules.RetryBudgetWindow = time.Second
	s.Rules.RetryBudgetMin = 3
	s.Rules.RetryBudgetRatio = 0.1
	h := newHarness(t, s)
	for id := uint64(1); id < 5000; id++ {
		removed := readyEngine(fmt.Sprintf("e%d", id-1), "a", 1)
		added := readyEngine(fmt.Sprintf("e%d", id), "a", 1)
		removed.State = EngineRemoved
		h.advance(100 * msec).handle(EndpointsChanged{Mode: UpdateDelta, Engines: []Engine{removed, added}})
		h.handle(RequestArrived{
			RequestID: id, Class: "ordered", OrderKey: fmt.Sprint("k", id), Dataset: int64(id),
			Deadline: h.now + time.Second,
		})
		h.handle(ProgressReported{RequestID: id, Kind: ProgressAwaitingLoad})
		h.endAttempt(id, 0, []Result{ResultServed, ResultConnectionLost, ResultCancelled}[id%3])
		if req := h.balancer.requests[id]; req != nil {
			h.handle(ClientDisconnected{RequestID: id})
			for n := range req.attempts {
				h.endAttempt(id, n, ResultCancelled)
			}
		}
		h.handle(TimerFired{})
	}
	b := h.balancer
	blocked := 0
	for _, e := range b.engines.all {
		blocked += len(e.bulkLoads)
	}
	for name, n := range map[string]int{
		"arrivals in the retry window": len(b.rules.budget.arrivals),
		"retries in the retry window":  len(b.rules.budget.retries),
		"engines":                      len(b.engines.all),
		"engine ids":                   len(b.engines.byID),
		"key queues":                   len(b.ordered.queues),
		"data sets":                    len(b.selector.affinity.popularity.counts),
		"requests":                     len(b.requests),
		"waiting requests":             len(b.ordered.waiting),
		"blocked data sets":            blocked,
	} {
		if n > 300 {
			t.Errorf("%s: %d kept after 5000 requests and engines", name, n)
		}
	}
}
