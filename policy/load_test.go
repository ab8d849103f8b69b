package policy

import (
	"math"
	"testing"
	"time"
)

func TestHealthChecks_FollowLoadAndSteerSelection(t *testing.T) {
	s := settings()
	h := newHarness(t, s, readyEngine("e", "a", 1), readyEngine("f", "a", 2))
	if actions := h.arrive(1, "idempotent"); hasAction[CheckHealth](actions) {
		t.Fatalf("a health check although the settings do not permit health checks: %+v", actions)
	}
	s.Limits.HealthChecks = true
	s.ReportsLoad = true
	h = newHarness(t, s, readyEngine("e", "a", 1), readyEngine("f", "a", 2))
	checks := 0
	for id := uint64(1); id <= 40; id++ {
		h.handle(HealthChecked{
			Engine: "e", Result: ResultServed, Load: LoadReport{Reported: true, CPUShare: 1, InFlight: 60},
		})
		h.handle(HealthChecked{
			Engine: "f", Result: ResultServed, Load: LoadReport{Reported: true, CPUShare: 0.1, InFlight: 2},
		})
		h.handle(HealthChecked{
			Engine: "unlisted", Result: ResultServed, Load: LoadReport{Reported: true, CPUShare: 9, InFlight: 1e9},
		})
		if hasAction[CheckHealth](h.arrive(id, "idempotent")) {
			checks++
		}
		h.wantAttempt(h.actions, "f")
		h.endAttempt(id, 0, ResultServed)
	}
	if checks < 28 {
		t.Fatalf("%d health checks with 40 arrivals while an engine is busy", checks)
	}
	checks = 0
	for id := uint64(100); id < 200; id++ {
		h.handle(HealthChecked{Engine: "e", Result: ResultServed, Load: LoadReport{Reported: true, InFlight: 0}})
		h.handle(HealthChecked{Engine: "f", Result: ResultServed, Load: LoadReport{Reported: true, InFlight: 0}})
		if hasAction[CheckHealth](h.arrive(id, "idempotent")) {
			checks++
		}
		h.endAttempt(id, 0, ResultServed)
	}
	if checks < 20 || checks > 70 { // without any checks, rising load would not be noticed
		t.Fatalf("%d health checks with 100 arrivals while all engines are idle", checks)
	}
}

func TestLoadReports_MalformedOnesAreHarmless(t *testing.T) {
	s := settings()
	s.Limits.HealthChecks = true
	s.ReportsLoad = true
	h := newHarness(t, s, readyEngine("e", "a", 1), readyEngine("f", "a", 2))
	for id, malformed := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -7, 1e300} {
		for _, load := range []LoadReport{
			{Reported: true, CPUShare: malformed, InFlight: -1},
			{Reported: true, CPUShare: 0.5, InFlight: malformed},
			{Reported: true, CPUShare: malformed, InFlight: malformed},
		} {
			h.handle(HealthChecked{Engine: "e", Result: ResultTimedOut, Load: load})
			h.handle(HealthChecked{Engine: "e", Result: ResultServed, Load: load})
			h.handle(HealthChecked{Engine: "", Result: ResultServed, Load: load})
		}
		h.advance(20 * time.Second).handle(TimerFired{})
		h.wantAttempt(h.arrive(uint64(id+1), "idempotent"), "")
		h.endAttempt(uint64(id+1), 0, ResultServed)
	}
	for name, v := range map[string]float64{
		"load level": h.balancer.fleet.loadLevel, "mean load": h.balancer.load.mean,
		"reported in flight": h.balancer.traffic.reportedInFlight, "traffic share": h.balancer.traffic.share(),
	} {
		if math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
			t.Errorf("%s is %v", name, v)
		}
	}
}

// An engine with few requests in flight but more memory granted than it has is swapping, and every additional request
// makes this worse.
func TestLoadReports_EngineWithOvercommittedMemoryIsAvoided(t *testing.T) {
	for _, c := range []struct {
		shortage    MemoryShortage
		wantAvoided bool
	}{{ShortageSwap, true}, {ShortageQueue, false}} {
		s := settings()
		s.Shortage = c.shortage
		h := newHarness(t, s, readyEngine("e", "a", 1), readyEngine("f", "a", 2))
		sentTo := map[string]int{}
		for id := uint64(1); id <= 40; id++ {
			for range 5 {
				h.handle(HealthChecked{
					Engine: "e", Result: ResultServed,
					Load: LoadReport{Reported: true, CPUShare: -1, InFlight: 2, MemoryShare: 1.5},
				})
				h.handle(HealthChecked{
					Engine: "f", Result: ResultServed,
					Load: LoadReport{Reported: true, CPUShare: -1, InFlight: 2, MemoryShare: 0.3},
				})
			}
			for _, a := range startedAttempts(h.arrive(id, "idempotent")) {
				sentTo[a.Engine]++
			}
			h.endAttempt(id, 0, ResultServed)
		}
		if avoided := sentTo["e"] == 0; avoided != c.wantAvoided {
			t.Errorf("memory shortage %v: requests sent by engine: %v", c.shortage, sentTo)
		}
	}
}

// With many balancers, each of them receives a load report of an engine only every few seconds. A report must affect
// the choice of engine until the next one arrives.
func TestLoadReports_SteerForSeconds(t *testing.T) {
	h := newHarness(t, settings(), readyEngine("e", "a", 1), readyEngine("f", "a", 2))
	h.balancer.outliers.silence.timeout = time.Hour
	sentTo := map[string]int{}
	for id := uint64(1); id <= 40; id++ {
		for range 5 {
			h.handle(HealthChecked{
				Engine: "e", Result: ResultServed, Load: LoadReport{Reported: true, CPUShare: -1, InFlight: 30},
			})
			h.handle(HealthChecked{
				Engine: "f", Result: ResultServed, Load: LoadReport{Reported: true, CPUShare: -1, InFlight: 2},
			})
		}
		for _, a := range startedAttempts(h.advance(4*time.Second).arrive(id, "idempotent")) {
			sentTo[a.Engine]++
		}
		h.endAttempt(id, 0, ResultServed)
	}
	if sentTo["e"] > sentTo["f"]/8 {
		t.Errorf("4 s after the reports, requests sent by engine: %v", sentTo)
	}
}
