package policy

import (
	"fmt"
	"testing"
	"time"
)

const msec = time.Millisecond

// harness passes events to one balancer and keeps the actions of the latest event.
type harness struct {
	t        *testing.T
	balancer *Balancer
	now      time.Duration
	actions  []Action
}

// settings returns the settings of a deployment. They have one class for each value of Effect, a class "wide" of many
// threads, a class "ordered" for ordering keys, and a class "placed" that may run in only one zone.
func settings() Settings {
	return Settings{
		Replicas: 2, Zone: "a", ProgressInterval: 500 * msec, TimerGranularity: 5 * msec,
		Kinds: []Kind{{Name: "k", Cores: 8, MemoryMB: 8192}},
		Classes: []Class{
			{
				Name: "idempotent", LatencyObjective: 300 * msec, Deadline: 2 * time.Second, PriorityWeight: 1,
				Threads: 1, Effect: Idempotent,
			},
			{
				Name: "wide", LatencyObjective: 3 * time.Second, Deadline: 15 * time.Second, PriorityWeight: 9,
				Threads: 4, Effect: Idempotent,
			},
			{
				Name: "non-idempotent", LatencyObjective: time.Second, Deadline: 9 * time.Second, PriorityWeight: 5,
				Threads: 2, Effect: NonIdempotent,
			},
			{
				Name: "keyed", LatencyObjective: time.Second, Deadline: 9 * time.Second, PriorityWeight: 5, Threads: 2,
				Effect: IdempotentByKey, DedupScope: ScopeCell, DedupWindow: time.Second,
			},
			{
				Name: "ordered", LatencyObjective: time.Second, Deadline: 9 * time.Second, PriorityWeight: 1,
				Threads: 1, Effect: Idempotent, Ordered: true,
			},
			{
				Name: "placed", LatencyObjective: time.Second, Deadline: 9 * time.Second, PriorityWeight: 1, Threads: 1,
				Effect: Idempotent, Zones: []string{"b"},
			},
		},
		Rules: Rules{
			ResponseSlack: 20 * msec, DrainGrace: time.Second, WarmupCapacity: 0.3, WarmupTime: 10 * time.Second,
			OverloadFactor: 3, OverloadWindow: 2 * time.Second, OrderSettleTime: 700 * msec,
		},
		Limits: Limits{MaxAttempts: 4, Cancel: true, RetryAfter: true, MaxRetryAfter: time.Second},
	}
}

// readyEngine returns the endpoint list entry of an engine that takes requests.
func readyEngine(id, zone string, cell int64) Engine {
	return Engine{ID: id, Zone: zone, Kind: "k", Cell: cell, CellKnown: true, State: EngineReady}
}

// manyBalancers returns the settings and n engines of a deployment with so many balancers that an even share of
// an engine is far less than the weight of one request.
func manyBalancers(n int) (Settings, []Engine) {
	s := settings()
	s.Replicas = 200
	list := make([]Engine, n)
	for i := range list {
		list[i] = readyEngine(fmt.Sprintf("e%02d", i), "a", 1)
	}
	return s, list
}

// mustNew returns a balancer, and fails the test if the settings are invalid.
func mustNew(t *testing.T, s Settings, seed uint64) *Balancer {
	t.Helper()
	b, err := New(s, seed)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// newHarness returns a harness whose balancer has received the engines as its first endpoint list.
func newHarness(t *testing.T, s Settings, engines ...Engine) *harness {
	t.Helper()
	h := &harness{t: t, balancer: mustNew(t, s, 1), now: time.Minute}
	h.handle(EndpointsChanged{Mode: UpdateCached, Engines: engines})
	return h
}

func (h *harness) handle(ev Event) []Action {
	h.actions = h.balancer.Handle(h.now, ev, nil)
	return h.actions
}

func (h *harness) advance(d time.Duration) *harness {
	h.now += d
	return h
}

// runFor fires the tick every 100 ms for the given time and returns all actions.
func (h *harness) runFor(d time.Duration) (all []Action) {
	for end := h.now + d; h.now < end; {
		all = append(all, h.advance(100*msec).handle(TimerFired{})...)
	}
	return all
}

func (h *harness) arrive(id uint64, class string) []Action {
	return h.handle(RequestArrived{
		RequestID: id, Class: class, Deadline: h.now + h.balancer.classes["non-idempotent"].Deadline,
	})
}

func (h *harness) endAttempt(requestID uint64, attempt int, result Result) []Action {
	return h.handle(AttemptEnded{
		RequestID: requestID, Attempt: attempt, Result: result, Elapsed: 100 * msec, Completed: result == ResultServed,
	})
}

func startedAttempts(actions []Action) (list []StartAttempt) {
	for _, a := range actions {
		if s, ok := a.(StartAttempt); ok {
			list = append(list, s)
		}
	}
	return list
}

func hasAction[T Action](actions []Action) bool {
	for _, a := range actions {
		if _, ok := a.(T); ok {
			return true
		}
	}
	return false
}

func resourcesOf(actions []Action) (resources SetResources) {
	for _, a := range actions {
		if got, ok := a.(SetResources); ok {
			resources = got
		}
	}
	return resources
}

func (h *harness) wantAttempt(actions []Action, engine string) {
	h.t.Helper()
	if attempts := startedAttempts(actions); len(attempts) != 1 || engine != "" && attempts[0].Engine != engine {
		h.t.Fatalf("want one attempt on %q, got %+v", engine, actions)
	}
}

func (h *harness) wantNoAttempt(actions []Action) {
	h.t.Helper()
	if attempts := startedAttempts(actions); len(attempts) != 0 {
		h.t.Fatalf("want no attempt, got %+v", attempts)
	}
}
