package policy

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// model records the actions of a balancer and checks each action against the rules.
type model struct {
	t        *testing.T
	settings Settings
	now      time.Duration
	byID     map[uint64]*modelRequest
	requests []*modelRequest // in order of arrival
	states   map[string]EngineState
	engines  map[string]Engine
	arrivals []time.Duration
	retries  []time.Duration
}

// modelRequest is what the model records of a request.
type modelRequest struct {
	id        uint64
	class     Class
	orderKey  string
	deadline  time.Duration
	attempts  []modelAttempt
	completed bool
}

// modelAttempt is what the model records of an attempt.
type modelAttempt struct {
	engine      string
	startedAt   time.Duration
	endedAt     time.Duration
	inFlight    bool
	mayHaveRun  bool
	mayStillRun bool
}

func (m *model) fail(format string, args ...any) {
	m.t.Helper()
	m.t.Fatalf("at %v: %s", m.now, fmt.Sprintf(format, args...))
}

// apply checks the actions and updates the model with them.
func (m *model) apply(actions []Action) {
	m.t.Helper()
	for _, action := range actions {
		switch a := action.(type) {
		case StartAttempt:
			m.startAttempt(a)
		case SetResources:
			if a.Priority < 0 || a.Priority > 3 || !(a.MemoryMB >= 0) {
				m.fail("request %d: priority %d, grant %v", a.RequestID, a.Priority, a.MemoryMB)
			}
		case CheckHealth:
			if !m.settings.Limits.HealthChecks || m.states[a.Engine] != EngineReady {
				m.fail("health check of %s, which is not ready or must not be checked", a.Engine)
			}
		case Reject:
			m.checkReject(m.complete(a.RequestID))
		case Fail:
			m.complete(a.RequestID)
		}
	}
}

// complete records the final response of a request. It fails the test if the request is unknown or has one already.
func (m *model) complete(requestID uint64) *modelRequest {
	m.t.Helper()
	req := m.byID[requestID]
	if req == nil || req.completed {
		m.fail("request %d: unknown, or a second response", requestID)
	}
	req.completed = true
	return req
}

func (m *model) checkReject(req *modelRequest) {
	m.t.Helper()
	class := req.class
	for _, attempt := range req.attempts {
		repeatable := class.Effect == Idempotent || class.Effect == IdempotentByKey && class.DedupScope == ScopeAll
		if attempt.mayHaveRun && !repeatable {
			m.fail("request %d rejected although it may have run", req.id)
		}
	}
}

func (m *model) startAttempt(a StartAttempt) {
	m.t.Helper()
	req := m.byID[a.RequestID]
	if req == nil || req.completed {
		m.fail("request %d sent after its completion, or unknown", a.RequestID)
	}
	if m.states[a.Engine] != EngineReady {
		m.fail("request %d sent to %s, which is not ready", a.RequestID, a.Engine)
	}
	engine := m.engines[a.Engine]
	if !allows(req.class.Zones, engine.Zone) {
		m.fail("request %d sent to zone %s", a.RequestID, engine.Zone)
	}
	m.checkEarlierAttempts(req, engine)
	m.checkOrder(req)
	if len(req.attempts) > 0 {
		m.retries = append(m.retries, m.now)
		m.checkRetryBudget()
	}
	if len(req.attempts) >= m.settings.Limits.MaxAttempts {
		m.fail("request %d has too many attempts", a.RequestID)
	}
	req.attempts = append(req.attempts, modelAttempt{
		engine: a.Engine, startedAt: m.now, inFlight: true, mayHaveRun: true,
	})
}

// checkEarlierAttempts checks that a retry is permitted after the earlier attempts: none of them is in flight, and if
// one of them may have run, the request may run again on the engine of the retry.
func (m *model) checkEarlierAttempts(req *modelRequest, engine Engine) {
	m.t.Helper()
	class := req.class
	for _, attempt := range req.attempts {
		if attempt.inFlight {
			m.fail("request %d has two attempts in flight", req.id)
		}
		if attempt.mayHaveRun && class.Effect == NonIdempotent {
			m.fail("non-idempotent request %d retried", req.id)
		}
		sameCell := m.engines[attempt.engine].Cell == engine.Cell
		expired := m.now-attempt.startedAt > class.DedupWindow
		if attempt.mayHaveRun && class.Effect == IdempotentByKey && (!sameCell || expired) {
			m.fail("request %d retried outside the scope or window of its idempotency key", req.id)
		}
	}
}

func (m *model) checkRetryBudget() {
	m.t.Helper()
	rules := m.settings.Rules
	windowStart := m.now - rules.RetryBudgetWindow
	retries := float64(countAfter(m.retries, windowStart))
	budget := rules.RetryBudgetMin + rules.RetryBudgetRatio*float64(countAfter(m.arrivals, windowStart))
	if retries > budget {
		m.fail("%v retries, %v permitted", retries, budget)
	}
}

func countAfter(instants []time.Duration, start time.Duration) (count int) {
	for _, instant := range instants {
		if instant > start {
			count++
		}
	}
	return count
}

// checkOrder checks that all earlier requests of the ordering key are completed, that none of their attempts is in
// flight, and that the settle time has passed since the end of attempts that may still run.
func (m *model) checkOrder(req *modelRequest) {
	m.t.Helper()
	if !req.class.Ordered {
		return
	}
	for _, earlier := range m.requests {
		if earlier == req {
			return
		}
		if !earlier.class.Ordered || earlier.orderKey != req.orderKey {
			continue
		}
		if !earlier.completed {
			m.fail("request %d sent before the completion of request %d", req.id, earlier.id)
		}
		for _, attempt := range earlier.attempts {
			settling := attempt.mayStillRun && m.now-attempt.endedAt < m.settings.Rules.OrderSettleTime
			if attempt.inFlight || settling {
				m.fail("request %d sent while request %d may still run", req.id, earlier.id)
			}
		}
	}
}

// TestBalancer_KeepsTheRulesOnRandomEvents passes valid events to balancers in random order, and checks the actions
// against each rule. Some of the events are stale or duplicate.
func TestBalancer_KeepsTheRulesOnRandomEvents(t *testing.T) {
	for seed := uint64(1); seed <= 60; seed++ {
		checkRandomEvents(t, seed)
	}
}

func checkRandomEvents(t *testing.T, seed uint64) {
	t.Helper()
	s := settings()
	s.Rules.RetryBudgetWindow = 2 * time.Second
	s.Rules.RetryBudgetMin = 3
	s.Rules.RetryBudgetRatio = 0.2
	if seed%2 == 0 { // load reports in place of progress reports: retries come in bursts, at ticks and after pauses
		s.ProgressInterval = 0
		s.Priorities = true
		s.MemoryGrants = true
		s.Limits.HealthChecks = true
		s.ReportsLoad = true
	}
	b := mustNew(t, s, seed)
	rng := rand.New(rand.NewPCG(seed, 1))
	m := &model{
		t: t, settings: s, now: time.Minute,
		byID: map[uint64]*modelRequest{}, states: map[string]EngineState{}, engines: map[string]Engine{},
	}
	m.updateEndpoints(b, UpdateCached, readyEngine("e0", "a", 0), readyEngine("e1", "b", 1))
	nextID := uint64(1)
	for range 1500 {
		m.now += time.Duration(rng.IntN(40)) * msec
		if rng.IntN(100) == 0 {
			m.now += time.Duration(rng.IntN(3000)) * msec
		}
		switch kind := rng.IntN(10); {
		case kind < 4:
			m.arrive(b, rng, nextID)
			nextID++
		case kind < 7 && len(m.requests) > 0:
			m.endAttempt(b, rng)
		case kind < 8:
			m.apply(b.Handle(m.now, TimerFired{}, nil))
			m.apply(b.Handle(m.now, TimerFired{Token: rng.Uint64N(nextID + 2)}, nil))
		case kind < 9 && len(m.requests) > 0:
			m.report(b, rng)
		case rng.IntN(3) == 0:
			m.updateEndpoints(b, UpdateFull, m.randomEngine(rng), m.randomEngine(rng))
		default:
			m.updateEndpoints(b, UpdateDelta, m.randomEngine(rng))
		}
	}
	m.finish(b)
}

func (m *model) updateEndpoints(b *Balancer, mode UpdateMode, engines ...Engine) {
	m.t.Helper()
	if mode != UpdateDelta {
		clear(m.states)
	}
	for _, e := range engines {
		m.states[e.ID] = e.State
		m.engines[e.ID] = e
	}
	m.apply(b.Handle(m.now, EndpointsChanged{Mode: mode, Engines: engines}, nil))
}

func (m *model) randomEngine(rng *rand.Rand) Engine {
	n := rng.IntN(5)
	e := readyEngine(fmt.Sprintf("e%d", n), string(rune('a'+n%2)), int64(n%2))
	e.State = EngineState(rng.IntN(3))
	if rng.IntN(3) > 0 {
		e.State = EngineReady
	}
	e.StartKnown = rng.IntN(4) == 0
	e.StartedAt = m.now
	return e
}

func (m *model) arrive(b *Balancer, rng *rand.Rand, id uint64) {
	m.t.Helper()
	class := m.settings.Classes[rng.IntN(len(m.settings.Classes))]
	req := &modelRequest{
		id: id, class: class, deadline: m.now + class.Deadline, orderKey: string(rune('x' + rng.IntN(2))),
	}
	m.byID[id] = req
	m.requests = append(m.requests, req)
	m.arrivals = append(m.arrivals, m.now)
	m.apply(b.Handle(m.now, RequestArrived{
		RequestID: id, Class: class.Name, OrderKey: req.orderKey, Deadline: req.deadline,
		EstimatedWork: time.Duration(rng.IntN(3000)) * msec, EstimatedMemoryMB: rng.Float64() * 500,
	}, nil))
}

// endAttempt ends a random attempt, or repeats its AttemptEnded if it has ended before.
func (m *model) endAttempt(b *Balancer, rng *rand.Rand) {
	m.t.Helper()
	req := m.requests[rng.IntN(len(m.requests))]
	if len(req.attempts) == 0 {
		return
	}
	index := rng.IntN(len(req.attempts))
	attempt := &req.attempts[index]
	result := Result(rng.IntN(int(ResultNotSent) + 1))
	if attempt.inFlight {
		attempt.inFlight = false
		attempt.endedAt = m.now
		attempt.mayHaveRun = result != ResultOverloaded && result != ResultConnectFailed && result != ResultNotSent
		attempt.mayStillRun = result == ResultTimedOut || result == ResultConnectionLost ||
			result == ResultCancelled || result == ResultUnknown
		if result == ResultServed {
			req.completed = true
		}
	}
	m.apply(b.Handle(m.now, AttemptEnded{
		RequestID: req.id, Attempt: index, Result: result, Elapsed: m.now - attempt.startedAt, Completed: req.completed,
	}, nil))
}

// report passes a progress report and a load report to the balancer. The attempt or the engine may not exist.
func (m *model) report(b *Balancer, rng *rand.Rand) {
	m.t.Helper()
	req := m.requests[rng.IntN(len(m.requests))]
	m.apply(b.Handle(m.now, ProgressReported{
		RequestID: req.id, Attempt: rng.IntN(3), Kind: ProgressKind(rng.IntN(6)), Value: rng.Float64() / 9,
	}, nil))
	m.apply(b.Handle(m.now, HealthChecked{
		Engine: fmt.Sprintf("e%d", rng.IntN(7)),
		Load:   LoadReport{Reported: true, InFlight: rng.Float64()*900 - 9, CPUShare: 1},
	}, nil))
}

// finish lets the deadlines of all requests pass, and checks that each request then has its response.
func (m *model) finish(b *Balancer) {
	m.t.Helper()
	for _, req := range m.requests {
		m.now = max(m.now, req.deadline)
	}
	for _, req := range m.requests {
		m.apply(b.Handle(m.now, DeadlineTimer(req.id), nil))
		if !req.completed {
			m.fail("request %d has no response", req.id)
		}
	}
}
