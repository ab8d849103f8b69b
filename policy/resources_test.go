package policy

import (
	"testing"
	"time"
)

func TestGrant_FollowsReportedNeed(t *testing.T) {
	s := settings()
	s.MemoryGrants = true
	s.ReportsCost = true
	h := newHarness(t, s, readyEngine("e", "a", 1))
	var grant float64
	for id := uint64(1); id < 60; id++ {
		actions := h.handle(RequestArrived{
			RequestID: id, Class: "idempotent", EstimatedMemoryMB: 100, Deadline: h.now + time.Second,
		})
		grant = resourcesOf(actions).MemoryMB
		h.handle(AttemptEnded{RequestID: id, Result: ResultServed, Elapsed: 50 * msec, Completed: true, MemoryMB: 50})
	}
	if grant < 45 || grant > 65 {
		t.Fatalf("granted %v MB for an estimate of 100 MB, which is twice the memory needed", grant)
	}
}

func TestPriority_FollowsValueOverWork(t *testing.T) {
	s := settings()
	s.Priorities = true
	h := newHarness(t, s, readyEngine("e", "a", 1))
	id := uint64(0)
	priorityOf := func(work time.Duration) int {
		id++
		actions := h.handle(RequestArrived{
			RequestID: id, Class: "idempotent", EstimatedWork: work, Deadline: h.now + time.Second,
		})
		h.endAttempt(id, 0, ResultServed)
		return resourcesOf(actions).Priority
	}
	for range 50 {
		priorityOf(100 * msec)
	}
	if short, usual, long := priorityOf(
		40*msec,
	), priorityOf(100*msec), priorityOf(800*msec); short <= usual || usual <= long {
		t.Fatalf("priorities of a short, a usual and a long request: %d, %d, %d", short, usual, long)
	}
}

func TestGrant_RisesWithSpillReportsWithoutReportedCost(t *testing.T) {
	s := settings()
	s.MemoryGrants = true
	h := newHarness(t, s, readyEngine("e", "a", 1))
	var grant float64
	for id := uint64(1); id < 20; id++ { // each request needs twice its estimate
		grant = resourcesOf(h.handle(RequestArrived{
			RequestID: id, Class: "idempotent", EstimatedMemoryMB: 100, Deadline: h.now + time.Second,
		})).MemoryMB
		if grant < 200 {
			h.handle(ProgressReported{RequestID: id, Kind: ProgressSpilling, Value: 200 - grant})
		}
		h.endAttempt(id, 0, ResultServed)
	}
	if grant < 180 || grant > 260 {
		t.Fatalf("granted %v MB of the 200 MB that are needed", grant)
	}
}
