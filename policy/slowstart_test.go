package policy

import (
	"testing"
	"time"
)

func TestSlowStart_EngineIsSentNoMoreThanTheBudget(t *testing.T) {
	s := settings()
	h := newHarness(t, s, readyEngine("warm", "a", 1))
	warming := readyEngine("warming", "a", 1)
	warming.StartedAt = h.now + 5*time.Second
	warming.StartKnown = true
	h.advance(5 * time.Second).handle(EndpointsChanged{Mode: UpdateFull, Engines: []Engine{warming}})
	work := 0.0
	for id := uint64(1); id < 200; id++ {
		for range startedAttempts(h.arrive(id, "idempotent")) {
			work += h.balancer.classes["idempotent"].workMs
			h.endAttempt(id, 0, ResultServed)
		}
	}
	if budget := s.Rules.OverloadFactor * s.Rules.WarmupCapacity * 8 * 2000 / 2; work == 0 || work > budget {
		t.Fatalf("sent %v ms of work, want some and at most %v", work, budget)
	}
}

// TestSlowStart_ManyBalancersKeepToOneBudget adds up the work that all balancers together send to one warming engine
// within any overload window, with many requests of all sizes. A negative number of balancers means that the engine
// was down before: failed connections began a slow start at each balancer, and the start that the endpoint list
// reports must begin another one.
func TestSlowStart_ManyBalancersKeepToOneBudget(t *testing.T) {
	for _, n := range []int{2, 9, 40, 200, -9, -40, -200} {
		wasDown := n < 0
		n = max(n, -n)
		s := settings()
		s.Replicas = n
		warming := readyEngine("warming", "a", 1)
		warming.StartedAt = time.Minute
		warming.StartKnown = true
		type sent struct {
			at   time.Duration
			work float64
		}
		var all []sent
		balancers := make([]*Balancer, n)
		for i := range balancers {
			balancers[i] = mustNew(t, s, uint64(i))
			balancers[i].Handle(30*time.Second, TimerFired{}, nil)
			if wasDown {
				balancers[i].Handle(
					30*time.Second,
					EndpointsChanged{Mode: UpdateFull, Engines: []Engine{readyEngine("warming", "a", 1)}}, nil,
				)
				balancers[i].Handle(
					51*time.Second, RequestArrived{RequestID: 1 << 40, Class: "idempotent", Deadline: 55 * time.Second},
					nil,
				)
				balancers[i].Handle(51*time.Second, AttemptEnded{RequestID: 1 << 40, Result: ResultConnectFailed}, nil)
			}
			balancers[i].Handle(time.Minute, EndpointsChanged{Mode: UpdateFull, Engines: []Engine{warming}}, nil)
		}
		id := uint64(0)
		for now := time.Minute; now < time.Minute+s.Rules.WarmupTime; now += 100 * msec {
			for _, b := range balancers {
				for _, class := range []string{"idempotent", "wide", "non-idempotent"} {
					id++
					for range startedAttempts(b.Handle(
						now, RequestArrived{RequestID: id, Class: class, Deadline: now + 9*time.Second}, nil,
					)) {
						all = append(all, sent{now, b.classes[class].workMs})
						b.Handle(now, AttemptEnded{
							RequestID: id, Result: ResultServed, Elapsed: s.Classes[0].LatencyObjective,
							Completed: true,
						}, nil)
					}
				}
			}
		}
		// The most work within a window, divided by the capacity share at the start of the window.
		peak := 0.0
		total := 0.0
		for i, from := range all {
			sum := 0.0
			for _, a := range all[i:] {
				if a.at < from.at+s.Rules.OverloadWindow {
					sum += a.work
				}
			}
			grown := float64(from.at-time.Minute) / float64(s.Rules.WarmupTime) // assumes quadratic growth
			capacity := s.Rules.WarmupCapacity + (1-s.Rules.WarmupCapacity)*grown*grown
			peak = max(peak, sum/capacity)
			total += from.work
		}
		limit := s.Rules.OverloadFactor * 8 * milliseconds(s.Rules.OverloadWindow)
		if peak > limit || total < 0.1*limit*s.Rules.WarmupCapacity*float64(s.Rules.WarmupTime/s.Rules.OverloadWindow) {
			t.Errorf(
				"%d balancers: %.0f ms of work in a window per capacity share, %.0f ms in all; the limit is %.0f", n,
				peak, total, limit,
			)
		}
	}
}

func TestSlowStart_BeginsAfterABrokenConnection(t *testing.T) {
	s, list := manyBalancers(1)
	h := newHarness(t, s, list...)
	h.advance(3 * time.Second).handle(TimerFired{})
	h.arrive(1, "idempotent")
	h.endAttempt(1, 0, ResultConnectionLost)
	work := 0.0
	for id := uint64(2); id < 200; id++ { // all at the same instant, while the engine may have restarted
		for range startedAttempts(h.arrive(id, "idempotent")) {
			work += h.balancer.classes["idempotent"].workMs
			h.endAttempt(id, 0, ResultServed)
		}
	}
	budgetShare := s.Rules.OverloadFactor * s.Rules.WarmupCapacity * 8 * 2000 / 200
	if work > budgetShare+h.balancer.classes["idempotent"].workMs {
		t.Fatalf("%v ms of work after a broken connection; the balancer's share of the budget is %v", work, budgetShare)
	}
}

// The balancers with most of the traffic must be able to spend a warming engine's budget, and the budget must grow
// with the engine's capacity. Otherwise the new engines of a half-replaced fleet are idle while the others are
// overloaded.
func TestSlowStart_BudgetFollowsTrafficShareAndCapacity(t *testing.T) {
	s := settings()
	s.Replicas = 100
	warming := readyEngine("warming", "a", 1)
	warming.StartedAt = time.Minute
	warming.StartKnown = true
	sent := func(ownInFlight float64, from time.Duration) (n int) {
		h := newHarness(t, s)
		// The reported start is older than a quarter of the warm-up time, so it is treated as a start right now.
		h.advance(5 * time.Second).handle(EndpointsChanged{Mode: UpdateFull, Engines: []Engine{warming}})
		h.advance(from - 5*time.Second)
		for id := uint64(1); id <= 30; id++ {
			// ownInFlight of the ten requests in flight at an engine are from this balancer.
			h.balancer.traffic.ownInFlight = ownInFlight
			h.balancer.traffic.reportedInFlight = 10
			n += len(startedAttempts(h.advance(100*msec).arrive(id, "idempotent")))
			h.endAttempt(id, 0, ResultServed)
		}
		return n
	}
	even := sent(0.1, 5*time.Second)
	heavy := sent(2, 5*time.Second)
	later := sent(0.1, 9*time.Second)
	if heavy < 10*max(even, 1) {
		t.Errorf("a balancer with a fifth of the traffic sent %d requests, one with a hundredth sent %d", heavy, even)
	}
	if later <= even {
		t.Errorf("sent %d requests from 4 s after the start on, %d right after the start", later, even)
	}
}

// burst is a number of requests that exceeds a warming engine's budget.
const burst = 400

// restartWithClockStep restarts a warm engine whose wall clock has been stepped. The start that the endpoint list
// reports is therefore wrong by the step. It returns how many requests of a burst are sent to the engine before the
// restart, right after the restart, and after the warm-up.
func restartWithClockStep(t *testing.T, step time.Duration) (before, atStart, afterwards int) {
	t.Helper()
	s := settings()
	s.Replicas = 1
	engine := readyEngine("stepped", "a", 1)
	engine.StartedAt = 2 * time.Hour
	engine.StartKnown = true
	h := newHarness(t, s)
	h.advance(2 * time.Hour).handle(EndpointsChanged{Mode: UpdateFull, Engines: []Engine{engine}})
	h.runFor(30 * time.Second)
	before = h.sendBurst()
	engine.StartedAt = h.now + step
	h.handle(EndpointsChanged{Mode: UpdateDelta, Engines: []Engine{engine}})
	atStart = h.sendBurst()
	h.runFor(s.Rules.WarmupTime)
	return before, atStart, h.sendBurst()
}

// The slow start lasts for the warm-up time after the actual start, even if the engine's wall clock is stepped.
func TestSlowStart_DoesNotFollowASteppedClock(t *testing.T) {
	_, want, _ := restartWithClockStep(t, 0)
	for _, step := range []time.Duration{
		-5 * time.Second, -20 * time.Second, -40 * time.Second, -time.Hour, 5 * time.Second, time.Hour,
	} {
		before, atStart, afterwards := restartWithClockStep(t, step)
		if atStart == 0 || atStart > want {
			t.Errorf("stepped by %v: %d requests sent right after the start, %d without a step", step, atStart, want)
		}
		if before != burst || afterwards != burst {
			t.Errorf(
				"stepped by %v: %d of %d requests sent before the restart and %d after the warm-up", step,
				before, burst, afterwards,
			)
		}
	}
}

// A start in the first endpoint list that is in the future by the balancer's clock is treated as a start right now.
func TestSlowStart_TreatsFutureStartInFirstListAsNow(t *testing.T) {
	s := settings()
	s.Replicas = 1
	engine := readyEngine("stepped", "a", 1)
	engine.StartedAt = 3 * time.Hour
	engine.StartKnown = true
	h := newHarness(t, s, engine)
	h.runFor(s.Rules.WarmupTime + time.Second)
	if n := h.sendBurst(); n != burst {
		t.Errorf("sent %d of %d requests after the warm-up", n, burst)
	}
}

// sendBurst passes a burst of arrivals to the balancer. Each request that is sent to the engine is served at once.
// sendBurst returns how many requests were sent.
func (h *harness) sendBurst() (sent int) {
	first := uint64(1_000_000) + uint64(h.now)
	for id := first; id < first+burst; id++ {
		if len(startedAttempts(h.arrive(id, "idempotent"))) > 0 {
			sent++
			h.endAttempt(id, 0, ResultServed)
		}
	}
	return sent
}

// The work that one balancer sends to a warming engine is checked against the load that the engine can handle from all
// balancers. The budget keeps the work below that; without the budget an overload is reported.
func TestCheckOverload_ReportsWhatExceedsTheLimit(t *testing.T) {
	s := settings()
	s.Replicas = 1
	warming := readyEngine("warming", "a", 1)
	warming.StartedAt = time.Minute
	warming.StartKnown = true
	h := newHarness(t, s)
	h.advance(5 * time.Second).handle(EndpointsChanged{Mode: UpdateFull, Engines: []Engine{warming}})
	reports := func(budgetEnforced bool) (n int) {
		for id := uint64(1); id <= 400; id++ {
			if !budgetEnforced {
				h.balancer.engines.byID["warming"].slowStart.budgetSpentUntil = 0 // as if nothing had been sent
			}
			for _, action := range h.arrive(id+uint64(h.now), "idempotent") {
				report, ok := action.(ReportOverload)
				if !ok {
					continue
				}
				n++
				if report.Engine != "warming" || report.Sent <= report.Limit {
					t.Errorf("reported %+v", report)
				}
			}
			h.endAttempt(id+uint64(h.now), 0, ResultServed)
		}
		return n
	}
	if n := reports(true); n != 0 {
		t.Errorf("%d overloads reported within the budget", n)
	}
	h.advance(3 * time.Second)
	if n := reports(false); n == 0 {
		t.Error("no overload reported without a budget")
	}
}
