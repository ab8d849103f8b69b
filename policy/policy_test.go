package policy

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"
)

const msec = time.Millisecond

// rig drives one gateway and keeps what it did.
type rig struct {
	t   *testing.T
	g   *Balancer
	now time.Duration
	out []Action
}

func settings() Settings {
	return Settings{
		Replicas: 2, Zone: "a", ProgressInterval: 500 * msec, TickInterval: 5 * msec,
		Kinds: []Kind{{Name: "k", Cores: 8, MemoryMB: 8192}},
		Classes: []Class{
			{Name: "safe", LatencyObjective: 300 * msec, Deadline: 2 * time.Second, PriorityWeight: 1, Threads: 1, Effect: Idempotent},
			{Name: "wide", LatencyObjective: 3 * time.Second, Deadline: 15 * time.Second, PriorityWeight: 9, Threads: 4, Effect: Idempotent},
			{Name: "unsafe", LatencyObjective: time.Second, Deadline: 9 * time.Second, PriorityWeight: 5, Threads: 2, Effect: NonIdempotent},
			{Name: "keyed", LatencyObjective: time.Second, Deadline: 9 * time.Second, PriorityWeight: 5, Threads: 2,
				Effect: IdempotentByKey, DedupScope: ScopeCell, DedupWindow: time.Second},
			{Name: "ordered", LatencyObjective: time.Second, Deadline: 9 * time.Second, PriorityWeight: 1, Threads: 1, Effect: Idempotent, Ordered: true},
			{Name: "bound", LatencyObjective: time.Second, Deadline: 9 * time.Second, PriorityWeight: 1, Threads: 1, Effect: Idempotent, Zones: []string{"b"}},
		},
		Rules: Rules{ResponseSlack: 20 * msec, DrainGrace: time.Second, WarmupCapacity: 0.3, WarmupTime: 10 * time.Second,
			OverloadFactor: 3, OverloadWindow: 2 * time.Second, OrderSettleTime: 700 * msec},
		Limits: Limits{MaxAttempts: 4, Cancel: true, RetryAfter: true, MaxRetryAfter: time.Second},
	}
}

func live(id, zone string, cell int64) Engine {
	return Engine{ID: id, Zone: zone, Kind: "k", Cell: cell, State: EngineReady}
}

func start(t *testing.T, s Settings, engines ...Engine) *rig {
	t.Helper()
	g, err := New(s, 1)
	if err != nil {
		t.Fatal(err)
	}
	r := &rig{t: t, g: g, now: time.Minute}
	r.do(EndpointsChanged{Mode: UpdateCached, Engines: engines})
	return r
}

func (r *rig) do(ev Event) []Action {
	r.out = r.g.Handle(r.now, ev, nil)
	return r.out
}

func (r *rig) after(d time.Duration) *rig { r.now += d; return r }

// ticks lets the gateway's timer run for a while and gathers what it does.
func (r *rig) ticks(d time.Duration) (all []Action) {
	for end := r.now + d; r.now < end; {
		all = append(all, r.after(100*msec).do(TimerFired{})...)
	}
	return all
}

func (r *rig) arrive(id uint64, class string) []Action {
	return r.do(RequestArrived{RequestID: id, Class: class, Deadline: r.now + r.g.classes["unsafe"].Deadline})
}

func (r *rig) ends(id uint64, n int, res Result) []Action {
	return r.do(AttemptEnded{RequestID: id, Attempt: n, Result: res, Elapsed: 100 * msec, Completed: res == ResultServed})
}

func sends(out []Action) (list []StartAttempt) {
	for _, a := range out {
		if s, ok := a.(StartAttempt); ok {
			list = append(list, s)
		}
	}
	return list
}

func has[T Action](out []Action) bool {
	for _, a := range out {
		if _, ok := a.(T); ok {
			return true
		}
	}
	return false
}

func (r *rig) wantSend(out []Action, engine string) {
	r.t.Helper()
	if s := sends(out); len(s) != 1 || engine != "" && s[0].Engine != engine {
		r.t.Fatalf("want one send to %q, got %+v", engine, out)
	}
}

func (r *rig) wantNoSend(out []Action) {
	r.t.Helper()
	if s := sends(out); len(s) != 0 {
		r.t.Fatalf("want no send, got %+v", s)
	}
}

func TestStepByHand(t *testing.T) {
	for _, c := range []struct{ bound, alpha, r, wantBound, wantAlpha float64 }{
		{10, 0.1, 1, 10, 0.1},                 // on the set-point: alpha = .3*.1+.7*.1, nothing moves
		{10, 0.1, 2, 10 - 0.7/0.13, 0.13},     // alpha = .3*.2+.7*.1
		{8, 0.05, 0.4, 8 + 0.7/0.05*0.6, .05}, // alpha = .3*.05+.7*.05
	} {
		b, a := controlStep(c.bound, c.alpha, c.r)
		if math.Abs(b-c.wantBound) > 1e-9 || math.Abs(a-c.wantAlpha) > 1e-9 {
			t.Errorf("step(%v, %v, %v) = %v, %v; want %v, %v", c.bound, c.alpha, c.r, b, a, c.wantBound, c.wantAlpha)
		}
	}
}

func TestIdlePeriodChangesNothingAndFloorHolds(t *testing.T) {
	r := start(t, settings(), live("e", "a", 1))
	e := r.g.enginesByID["e"]
	bound, alpha := e.bound, e.alpha
	r.g.adjust(&e.controlLoop)
	if e.bound != bound || e.alpha != alpha {
		t.Fatalf("an idle period moved the loop to %v, %v", e.bound, e.alpha)
	}
	for i := 0; i < 50; i++ {
		e.latencySum, e.samples = 50, 1
		r.g.adjust(&e.controlLoop)
	}
	if e.bound <= 0 || e.bound >= 1 {
		t.Fatalf("bound %v, want a floor under one query's weight", e.bound)
	}
}

func TestRefusesAtOnceBeyondTheBoundAndSaysWhen(t *testing.T) {
	r := start(t, settings(), live("e", "a", 1))
	for id := uint64(1); id < 100; id++ {
		out := r.arrive(id, "safe")
		if len(sends(out)) > 0 {
			continue
		}
		for _, a := range out {
			if no, ok := a.(Reject); ok && no.RetryAfter > 0 && no.RetryAfter <= time.Second {
				return
			}
		}
		t.Fatalf("query %d: neither sent nor refused with a time: %+v", id, out)
	}
	t.Fatal("no query was refused")
}

func TestUnsafeIsSentAgainOnlyWhenItNeverRan(t *testing.T) {
	for res, again := range map[Result]bool{ResultOverloaded: true, ResultConnectFailed: true, ResultNotSent: true, ResultFailed: false,
		ResultTimedOut: false, ResultConnectionLost: false, ResultCancelled: false, ResultUnknown: false} {
		r := start(t, settings(), live("e", "a", 1), live("f", "a", 1))
		r.arrive(1, "unsafe")
		out := r.ends(1, 0, res)
		if (len(sends(out)) == 1) != again || has[Reject](out) || has[Fail](out) == again {
			t.Errorf("after result %d: %+v", res, out)
		}
	}
}

func TestKeyedStaysInItsGroupAndWindow(t *testing.T) {
	r := start(t, settings(), live("e", "a", 1), live("f", "a", 2))
	first := sends(r.arrive(1, "keyed"))[0].Engine
	r.wantSend(r.ends(1, 0, ResultFailed), first)
	r.after(1100 * msec)
	out := r.ends(1, 1, ResultFailed)
	if len(sends(out)) != 0 || !has[Fail](out) {
		t.Fatalf("beyond the window: %+v", out)
	}
}

func TestDrainingAndGoneEnginesGetNothing(t *testing.T) {
	r := start(t, settings(), live("e", "a", 1), live("f", "a", 1))
	e := live("e", "a", 1)
	e.State = EngineDraining
	r.do(EndpointsChanged{Mode: UpdateDelta, Engines: []Engine{e}})
	r.wantSend(r.arrive(1, "safe"), "f")
	r.do(EndpointsChanged{Mode: UpdateFull, Engines: []Engine{e}})
	r.wantNoSend(r.arrive(2, "safe"))
}

func TestColdEngineKeepsItsBudget(t *testing.T) {
	s := settings()
	r := start(t, s, live("warm", "a", 1))
	cold := live("cold", "a", 1)
	cold.StartedAt, cold.StartKnown = r.now+5*time.Second, true
	r.after(5 * time.Second).do(EndpointsChanged{Mode: UpdateFull, Engines: []Engine{cold}})
	work := 0.0
	for id := uint64(1); id < 200; id++ {
		for range sends(r.arrive(id, "safe")) {
			work += r.g.classes["safe"].workMs
			r.ends(id, 0, ResultServed)
		}
	}
	if budget := s.Rules.OverloadFactor * s.Rules.WarmupCapacity * 8 * 2000 / 2; work == 0 || work > budget {
		t.Fatalf("sent %v ms of work, want some and at most %v", work, budget)
	}
}

func TestOrderHoldsUntilTheEarlierIsOverAndRested(t *testing.T) {
	r := start(t, settings(), live("e", "a", 1))
	ask := func(id uint64) []Action {
		return r.do(RequestArrived{RequestID: id, Class: "ordered", OrderKey: "x", Deadline: r.now + 5*time.Second})
	}
	r.wantSend(ask(1), "e")
	r.wantNoSend(ask(2))
	r.do(ClientDisconnected{RequestID: 1})
	r.wantNoSend(r.do(TimerFired{})) // its attempt is still out
	r.ends(1, 0, ResultCancelled)
	r.wantNoSend(r.after(500 * msec).do(TimerFired{}))
	r.wantSend(r.after(300*msec).do(TimerFired{}), "e")
}

func TestPlacementHoldsEvenWhenAllAllowedAreGone(t *testing.T) {
	r := start(t, settings(), live("e", "a", 1))
	r.wantNoSend(r.arrive(1, "bound"))
	r.do(EndpointsChanged{Mode: UpdateDelta, Engines: []Engine{live("f", "b", 1)}})
	r.wantSend(r.arrive(2, "bound"), "f")
	r.wantSend(r.ends(2, 0, ResultFailed), "f")
}

func TestFurtherAttemptsAreRationed(t *testing.T) {
	s := settings()
	s.Rules.RetryBudgetWindow, s.Rules.RetryBudgetMin, s.Rules.RetryBudgetRatio = time.Second, 1, 0.1
	r := start(t, s, live("e", "a", 1), live("f", "a", 1))
	r.arrive(1, "safe")
	r.arrive(2, "safe")
	r.wantSend(r.ends(1, 0, ResultOverloaded), "")
	r.wantNoSend(r.ends(2, 0, ResultOverloaded))
}

func TestSilentEngineIsSuspectAndItsQueriesMove(t *testing.T) {
	r := start(t, settings(), live("hung", "a", 1))
	r.arrive(1, "wide")
	r.arrive(2, "safe")
	r.do(EndpointsChanged{Mode: UpdateDelta, Engines: []Engine{live("good", "a", 1)}})
	out := r.ticks(1500 * msec)
	if !has[CancelAttempt](out) || !has[Log](out) {
		t.Fatalf("want cancels and a log line, got %+v", out)
	}
	r.wantNoSend(out) // never two attempts at once
	r.wantSend(r.ends(1, 0, ResultCancelled), "good")
}

func TestOneQuietAttemptDoesNotCondemnAnEngine(t *testing.T) {
	r := start(t, settings(), live("e", "a", 1))
	r.arrive(1, "wide")
	if out := r.ticks(1500 * msec); has[CancelAttempt](out) {
		t.Fatalf("condemned on one attempt: %+v", out)
	}
}

func TestBadPlanIsCancelledOnceThenLeft(t *testing.T) {
	r := start(t, settings(), live("e", "a", 1), live("f", "a", 1))
	r.do(RequestArrived{RequestID: 1, Class: "wide", Deadline: r.now + 15*time.Second})
	r.after(time.Second)
	if out := r.do(ProgressReported{RequestID: 1, Kind: ProgressFraction, Value: 0.01}); !has[CancelAttempt](out) {
		t.Fatalf("a hopeless attempt was left: %+v", out)
	}
	r.wantSend(r.ends(1, 0, ResultCancelled), "")
	r.after(time.Second)
	if out := r.do(ProgressReported{RequestID: 1, Attempt: 1, Kind: ProgressFraction, Value: 0.15}); has[CancelAttempt](out) {
		t.Fatalf("a heavy query was cancelled twice: %+v", out)
	}
}

func TestSettingsAtFaultAreNamed(t *testing.T) {
	for want, spoil := range map[string]func(*Settings){
		"Gateways":            func(s *Settings) { s.Replicas = 0 },
		"Classes: none":       func(s *Settings) { s.Classes = nil },
		"Classes[1].Aim":      func(s *Settings) { s.Classes[1].LatencyObjective = 0 },
		"Classes[2].Deadline": func(s *Settings) { s.Classes[2].Deadline = -1 },
		"Rules.LookBack":      func(s *Settings) { s.Rules.RetryBudgetWindow = -1 },
		"Rules.ExtraFree":     func(s *Settings) { s.Rules.RetryBudgetMin = -1 },
		"Rules.ExtraShare":    func(s *Settings) { s.Rules.RetryBudgetRatio = math.NaN() },
		"Worth":               func(s *Settings) { s.Classes[0].PriorityWeight = math.NaN() },
		"Classes[0].Threads":  func(s *Settings) { s.Classes[0].Threads = math.NaN() },
	} {
		s := settings()
		spoil(&s)
		if _, err := New(s, 1); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("want an error naming %q, got %v", want, err)
		}
	}
}

func TestGrantFollowsToldNeedOverABiasedEstimate(t *testing.T) {
	s := settings()
	s.MemoryGrants, s.ReportsCost = true, true
	r := start(t, s, live("e", "a", 1))
	var grant float64
	for id := uint64(1); id < 60; id++ {
		out := r.do(RequestArrived{RequestID: id, Class: "safe", EstimatedMemoryMB: 100, Deadline: r.now + time.Second})
		for _, a := range out {
			if g, ok := a.(SetResources); ok {
				grant = g.MemoryMB
			}
		}
		r.do(AttemptEnded{RequestID: id, Result: ResultServed, Elapsed: 50 * msec, Completed: true, MemoryMB: 50})
	}
	if grant < 45 || grant > 65 {
		t.Fatalf("granted %v MB for an estimate of 100 that is twice the need", grant)
	}
}

func TestOwnPauseCondemnsNoEngine(t *testing.T) {
	r := start(t, settings(), live("e", "a", 1))
	r.do(TimerFired{})
	for id := uint64(1); id < 4; id++ {
		r.arrive(id, "wide")
		r.arrive(id+10, "safe")
	}
	if out := r.after(3 * time.Second).do(TimerFired{}); has[CancelAttempt](out) || has[Log](out) {
		t.Fatalf("a pause of the gateway was taken for silence of an engine: %+v", out)
	}
}

func TestEngineThatFailsFastIsSuspect(t *testing.T) {
	r := start(t, settings(), live("bad", "a", 1), live("good", "b", 2))
	sent := 0
	for id := uint64(1); id < 40; id++ {
		r.arrive(id, "safe")
		for n := 0; n < 4; n++ {
			q := r.g.requests[id]
			if q == nil {
				break
			}
			res := ResultServed
			if q.attempts[n].engine.id == "bad" {
				res = ResultFailed
				sent++
			}
			r.ends(id, n, res)
		}
	}
	if sent == 0 || sent > 8 {
		t.Fatalf("%d of the attempts went to the engine that answers with errors", sent)
	}
}

func TestBoundsFollowThisGatewaysPartOfTheTraffic(t *testing.T) {
	s := settings()
	s.Tenants = []Tenant{{Name: "t", Quota: 40, Share: 1}}
	busy, idle := start(t, s, live("e", "a", 1)), start(t, s, live("e", "a", 1))
	for id := uint64(1); id < 800; id++ {
		busy.after(25 * msec).do(RequestArrived{RequestID: id, Class: "safe", Tenant: "t", Deadline: busy.now + time.Second})
		busy.ends(id, 0, ResultServed)
		if id%4 == 0 {
			busy.do(TimerFired{})
			idle.after(100 * msec).do(TimerFired{})
		}
	}
	b, i := busy.g.enginesByID["e"].maxBound, idle.g.enginesByID["e"].maxBound
	if i < maxBoundFactor*initialThreadsPerCore*8/2 {
		t.Fatalf("an idle gateway's top fell to %v", i)
	}
	if b < 1.3*i {
		t.Fatalf("the busy gateway's top is %v, the idle one's %v", b, i)
	}
}

func TestTopShrinksPastTheKnee(t *testing.T) {
	r := start(t, settings(), live("e", "a", 1))
	e := r.g.enginesByID["e"]
	serve := func(from uint64, took time.Duration) {
		for id := from; id < from+200; id++ {
			r.arrive(id, "safe")
			r.do(AttemptEnded{RequestID: id, Result: ResultServed, Elapsed: took, Completed: true})
			r.after(20 * msec).do(TimerFired{})
		}
	}
	serve(1, 20*msec)
	before := e.maxBound
	serve(1000, 200*msec) // still under the aim of 300 ms
	if e.maxBound > 0.7*before {
		t.Fatalf("top %v after latencies of ten times the quick ones, %v before", e.maxBound, before)
	}
}

func TestReadersKeepAwayFromASetUnderLoad(t *testing.T) {
	s := settings()
	s.Classes[2].BulkLoad, s.Classes[0].BlockedByLoad = true, true
	r := start(t, s, live("e", "a", 1), live("f", "a", 1))
	ask := func(id uint64, class string) string {
		out := r.do(RequestArrived{RequestID: id, Class: class, Dataset: 7, Deadline: r.now + 9*time.Second})
		return sends(out)[0].Engine
	}
	loading := ask(1, "unsafe")
	for id := uint64(2); id < 5; id++ {
		if got := ask(id, "safe"); got == loading {
			t.Fatalf("query %d went to %s, where a load holds its set", id, got)
		}
	}
}

func TestHopelessQueryIsAnsweredEarly(t *testing.T) {
	r := start(t, settings(), live("e", "a", 1), live("f", "a", 1))
	r.arrive(1, "wide")
	r.after(time.Second).do(ProgressReported{RequestID: 1, Kind: ProgressFraction, Value: 0.01})
	r.ends(1, 0, ResultCancelled)
	out := r.after(time.Second).do(ProgressReported{RequestID: 1, Attempt: 1, Kind: ProgressFraction, Value: 0.01})
	if !has[Reject](out) || !has[CancelAttempt](out) {
		t.Fatalf("a second attempt far past the deadline was kept: %+v", out)
	}
	r.wantNoSend(r.ends(1, 1, ResultCancelled))
}

func TestLateQueryWhoseFreshRunIsLateTooFinishes(t *testing.T) {
	r := start(t, settings(), live("e", "a", 1), live("f", "a", 1))
	r.arrive(1, "safe")
	if out := r.after(500 * msec).do(ProgressReported{RequestID: 1, Kind: ProgressFraction, Value: 0.4}); has[CancelAttempt](out) {
		t.Fatalf("cancelled though no attempt is left: %+v", out)
	}
}

// many returns settings and engines of a deployment whose fronts are so many
// that the even part of an engine is far narrower than one query.
func many(n int) (Settings, []Engine) {
	s := settings()
	s.Replicas = 200
	list := make([]Engine, n)
	for i := range list {
		list[i] = live(fmt.Sprintf("e%02d", i), "a", 1)
	}
	return s, list
}

func TestManyGatewaysTogetherStayNearWhatEnginesHold(t *testing.T) {
	s, list := many(40)
	r := start(t, s, list...)
	held := 0.0
	for id := uint64(1); id < 200; id++ {
		for range sends(r.arrive(id, "wide")) {
			held += 4
		}
	}
	if most := 4 * 40 * 8 / 200.0; held == 0 || held > 4*most {
		t.Fatalf("one of 200 gateways holds %v threads at 40 engines; their part of four threads a core is %v", held, most)
	}
}

func TestTiesFallOnDifferentEngines(t *testing.T) {
	s, list := many(20)
	met := map[string]bool{}
	for seed := uint64(1); seed < 60; seed++ {
		g, err := New(s, seed)
		if err != nil {
			t.Fatal(err)
		}
		g.Handle(0, EndpointsChanged{Mode: UpdateFull, Engines: list}, nil)
		out := g.Handle(0, RequestArrived{RequestID: 1, Class: "safe", Dataset: int64(seed), Deadline: time.Second}, nil)
		for _, a := range sends(out) {
			met[a.Engine] = true
		}
	}
	if len(met) < 12 {
		t.Fatalf("60 gateways' first queries met %d of 20 engines", len(met))
	}
}

func TestLittleTrafficIsNotTakenForExcess(t *testing.T) {
	s := settings()
	s.Replicas, s.Tenants = 200, []Tenant{{Name: "t", Quota: 100, Share: 1}}
	r := start(t, s, live("e", "a", 1))
	over := 0
	for id := uint64(1); id < 40; id++ { // one in two seconds, its even part
		r.after(2 * time.Second).do(TimerFired{})
		if r.g.overQuota("t") {
			over++
		}
	}
	if over > 0 {
		t.Fatalf("%d of 39 queries within the quota counted as beyond it", over)
	}
	for id := 0; id < 100; id++ {
		if r.after(100 * msec).do(TimerFired{}); r.g.overQuota("t") {
			over++
		}
	}
	if over < 80 {
		t.Fatalf("of a twentyfold excess only %d in 100 counted as beyond the quota", over)
	}
}

// TestColdEngineFromManyGateways adds up what all gateways together send one cold
// engine within any span, with much to send and of all sizes. With fewer than none
// the engine was down before: what failed to reach it began a line at each gateway,
// and the start that is told at last must begin another.
func TestColdEngineFromManyGateways(t *testing.T) {
	for _, n := range []int{2, 9, 40, 200, -9, -40, -200} {
		down := n < 0
		n = max(n, -n)
		s := settings()
		s.Replicas = n
		cold := live("cold", "a", 1)
		cold.StartedAt, cold.StartKnown = time.Minute, true
		type sent struct {
			at   time.Duration
			work float64
		}
		var all []sent
		gateways := make([]*Balancer, n)
		for i := range gateways {
			gateways[i], _ = New(s, uint64(i))
			gateways[i].Handle(30*time.Second, TimerFired{}, nil)
			if down {
				gateways[i].Handle(30*time.Second, EndpointsChanged{Mode: UpdateFull, Engines: []Engine{live("cold", "a", 1)}}, nil)
				gateways[i].Handle(51*time.Second, RequestArrived{RequestID: 1 << 40, Class: "safe", Deadline: 55 * time.Second}, nil)
				gateways[i].Handle(51*time.Second, AttemptEnded{RequestID: 1 << 40, Result: ResultConnectFailed}, nil)
			}
			gateways[i].Handle(time.Minute, EndpointsChanged{Mode: UpdateFull, Engines: []Engine{cold}}, nil)
		}
		id := uint64(0)
		for now := time.Minute; now < time.Minute+s.Rules.WarmupTime; now += 100 * msec {
			for _, g := range gateways {
				for _, class := range []string{"safe", "wide", "unsafe"} {
					id++
					for range sends(g.Handle(now, RequestArrived{RequestID: id, Class: class, Deadline: now + 9*time.Second}, nil)) {
						all = append(all, sent{now, g.classes[class].workMs})
						g.Handle(now, AttemptEnded{RequestID: id, Result: ResultServed, Elapsed: s.Classes[0].LatencyObjective, Completed: true}, nil)
					}
				}
			}
		}
		most, total := 0.0, 0.0 // the most, over what the engine can do as the span begins
		for i, from := range all {
			sum := 0.0
			for _, a := range all[i:] {
				if a.at < from.at+s.Rules.OverloadWindow {
					sum += a.work
				}
			}
			grown := float64(from.at-time.Minute) / float64(s.Rules.WarmupTime) // late, as a square
			capacity := s.Rules.WarmupCapacity + (1-s.Rules.WarmupCapacity)*grown*grown
			most, total = max(most, sum/capacity), total+from.work
		}
		limit := s.Rules.OverloadFactor * 8 * milliseconds(s.Rules.OverloadWindow)
		if most > limit || total < 0.1*limit*s.Rules.WarmupCapacity*float64(s.Rules.WarmupTime/s.Rules.OverloadWindow) {
			t.Errorf("%d gateways: %.0f ms of work within a span over the capacity, %.0f in all; the limit is %.0f", n, most, total, limit)
		}
	}
}

func TestQueryThatStandsStillMovesWhereItMakesItsAim(t *testing.T) {
	for _, c := range []struct {
		class string
		after time.Duration
		moves bool
	}{{"wide", 500 * msec, true}, {"wide", 2500 * msec, false}, {"unsafe", 500 * msec, false}} {
		r := start(t, settings(), live("e", "a", 1), live("f", "a", 1))
		first := sends(r.arrive(1, c.class))[0].Engine
		out := r.after(c.after).do(ProgressReported{RequestID: 1, Kind: ProgressAwaitingLoad})
		if has[CancelAttempt](out) != c.moves {
			t.Fatalf("%s after %v: %+v", c.class, c.after, out)
		}
		if c.moves {
			if out = r.ends(1, 0, ResultCancelled); len(sends(out)) != 1 || sends(out)[0].Engine == first {
				t.Fatalf("it did not move from %s: %+v", first, out)
			}
		}
	}
}

// What waits for memory is moved once: engines that are all short of it would else use
// up the attempts of every query within a moment, and leave none for what goes wrong.
func TestQueryThatWaitsForMemoryMovesOnce(t *testing.T) {
	r := start(t, settings(), live("e", "a", 1), live("f", "a", 1), live("g", "a", 1))
	r.arrive(1, "wide")
	if out := r.do(ProgressReported{RequestID: 1, Kind: ProgressAwaitingMemory}); !has[CancelAttempt](out) {
		t.Fatalf("it did not move: %+v", out)
	}
	r.ends(1, 0, ResultCancelled)
	if out := r.do(ProgressReported{RequestID: 1, Attempt: 1, Kind: ProgressAwaitingMemory}); has[CancelAttempt](out) {
		t.Fatalf("it moved again: %+v", out)
	}
}

func TestToldLoadClosesTheRoomForChance(t *testing.T) {
	s, list := many(40)
	r := start(t, s, list...)
	free := r.g.fleet.maxBound
	for id := uint64(1); id < 20; id++ {
		r.arrive(id, "safe")
		r.do(AttemptEnded{RequestID: id, Result: ResultServed, Elapsed: 50 * msec, Completed: true, Load: LoadReport{Reported: true, CPUShare: 1, InFlight: -1}})
	}
	r.ticks(time.Second)
	if got := r.g.fleet.maxBound; got > maxBoundFactor*r.g.fleet.initialBound+0.05*free {
		t.Fatalf("top of all %v with every engine told busy, %v with nothing told", got, free)
	}
}

func TestChanceSendsFallOnDifferentEngines(t *testing.T) {
	s, list := many(30)
	met := map[string]int{}
	for seed := uint64(1); seed < 90; seed++ {
		g, _ := New(s, seed)
		g.Handle(0, EndpointsChanged{Mode: UpdateFull, Engines: list}, nil)
		for _, e := range g.engines {
			e.maxBound = 3 // under the weight of four
		}
		for _, a := range sends(g.Handle(0, RequestArrived{RequestID: 1, Class: "wide", Dataset: int64(seed), Deadline: time.Second}, nil)) {
			met[a.Engine]++
		}
	}
	for id, n := range met {
		if n > 12 {
			t.Fatalf("%d of 89 chance sends went to %s", n, id)
		}
	}
	if len(met) < 15 {
		t.Fatalf("chance sends met %d of 30 engines", len(met))
	}
}

func TestEnginesToldIdleWidenTheRoomForChance(t *testing.T) {
	s, list := many(40)
	r := start(t, s, list...)
	before := r.g.fleet.maxBound
	for id := uint64(1); id < 20; id++ {
		r.arrive(id, "safe")
		r.do(AttemptEnded{RequestID: id, Result: ResultServed, Elapsed: 50 * msec, Completed: true, Load: LoadReport{Reported: true, CPUShare: 0.2, InFlight: -1}})
	}
	if r.ticks(time.Second); r.g.fleet.maxBound < 1.5*before {
		t.Fatalf("top of all %v with every engine told idle, %v with nothing told", r.g.fleet.maxBound, before)
	}
}

func TestFailedConnectionIsTakenForARestart(t *testing.T) {
	s, list := many(1)
	r := start(t, s, list...)
	r.after(3 * time.Second).do(TimerFired{})
	r.arrive(1, "safe")
	r.ends(1, 0, ResultConnectionLost)
	work := 0.0
	for id := uint64(2); id < 200; id++ { // all at once, to an engine that may be cold
		for range sends(r.arrive(id, "safe")) {
			work += r.g.classes["safe"].workMs
			r.ends(id, 0, ResultServed)
		}
	}
	if part := s.Rules.OverloadFactor * s.Rules.WarmupCapacity * 8 * 2000 / 200; work > part+r.g.classes["safe"].workMs {
		t.Fatalf("%v ms of work after a broken connection; this gateway's part of a cold budget is %v", work, part)
	}
}

// A connection that breaks takes all that is open on it along. That is one fault, and
// word of what was sent after it, sooner than a process starts, shows that the engine
// did not restart. A refused connection stays one that did.
func TestBrokenConnectionIsOneFault(t *testing.T) {
	for _, c := range []struct {
		result  Result
		suspect bool
		cold    bool
	}{{ResultConnectionLost, false, false}, {ResultConnectFailed, true, true}} {
		r := start(t, settings(), live("e", "a", 1))
		r.after(3 * time.Second).do(TimerFired{})
		for id := uint64(1); id <= 4; id++ {
			r.arrive(id, "safe")
		}
		e := r.g.engines[0]
		for id := uint64(1); id <= 2; id++ {
			r.ends(id, 0, c.result)
		}
		if e.ejected != c.suspect {
			t.Errorf("%v: suspect is %v", c.result, e.ejected)
		}
		r.after(200 * msec)
		for id := uint64(5); id < 9; id++ {
			if out := r.arrive(id, "safe"); len(sends(out)) > 0 {
				r.after(50 * msec).do(ProgressReported{RequestID: id, Kind: ProgressFraction, Value: 0.5})
				break
			}
		}
		if cold := r.now < e.warmupEndsAt; cold != c.cold {
			t.Errorf("%v: cold is %v after word of what was sent since", c.result, cold)
		}
	}
}

// An error may be the query's own fault: it tells against an engine only once another
// engine has served the query. What two engines find at fault is not tried on a third.
func TestErrorsTellOfEnginesOnlyWhereOthersServe(t *testing.T) {
	r := start(t, settings(), live("e", "a", 1), live("f", "a", 1), live("g", "a", 1))
	for id := uint64(1); id < 20; id++ {
		r.arrive(id, "safe")
		r.ends(id, 0, ResultFailed)
		if out := r.ends(id, 1, ResultFailed); len(sends(out)) > 0 || !has[Reject](out) {
			t.Fatalf("after two errors: %+v", out)
		}
	}
	for _, e := range r.g.engines {
		if e.faultRate > 0 {
			t.Errorf("engine %s has faults %v for queries that no engine could use", e.id, e.faultRate)
		}
	}
	first := r.g.enginesByID[sends(r.arrive(20, "safe"))[0].Engine]
	r.ends(20, 0, ResultFailed)
	if r.ends(20, 1, ResultServed); first.faultRate == 0 {
		t.Error("no fault for an error on what another engine served")
	}
}

// An attempt of which nothing is heard, while its engine tells of others, has lost its
// answer: it is tried again, where its class allows that. One that waits is told of
// less often.
func TestLostAnswerIsTriedAgain(t *testing.T) {
	for _, c := range []struct {
		class       string
		waits, lost bool
	}{{"safe", false, true}, {"keyed", false, true}, {"unsafe", false, false}, {"safe", true, false}} {
		s := settings()
		s.Classes[3].DedupWindow = 5 * time.Second
		r := start(t, s, live("e", "a", 1))
		r.arrive(1, c.class)
		r.arrive(2, "unsafe")
		if c.waits {
			r.do(ProgressReported{RequestID: 1, Kind: ProgressAwaitingMemory})
		}
		moved := false
		for range 8 {
			r.do(ProgressReported{RequestID: 2, Kind: ProgressAwaitingMemory})
			moved = moved || has[CancelAttempt](r.ticks(400*msec))
		}
		if moved != c.lost {
			t.Errorf("%s, waiting %v: tried again is %v", c.class, c.waits, moved)
		}
	}
}

// One class stands still on an engine while another runs there: it gets no more of the
// first, but one at a time to find out, until there is word of that.
func TestEngineWhereOneClassStandsStill(t *testing.T) {
	r := start(t, settings(), live("e", "a", 1), live("f", "a", 1))
	e := r.g.enginesByID["e"]
	to := func(class string) (n int) {
		for id := uint64(100); id < 110; id++ {
			for _, s := range sends(r.arrive(id, class)) {
				if s.Engine == "e" {
					n++
				}
			}
			r.do(ClientDisconnected{RequestID: id})
			for _, q := range r.g.requests {
				if q.id == id {
					r.ends(id, 0, ResultCancelled)
				}
			}
		}
		return n
	}
	still := map[uint64]bool{}
	for id := uint64(1); len(still) < stalledAfterLost; id++ {
		if sends(r.arrive(id, "safe"))[0].Engine == "e" {
			still[id] = true
		} else {
			r.ends(id, 0, ResultServed)
		}
	}
	for range 4 {
		r.ticks(300 * msec)
		e.lastHeardAt = r.now // by way of other classes
	}
	if !r.g.classStalled(e, r.g.classes["safe"]) || r.g.classStalled(e, r.g.classes["unsafe"]) {
		t.Fatalf("mute to %v lost answers is not the class's", e.lostAnswers)
	}
	if n := to("safe"); n > 0 {
		t.Errorf("%d more of the class that stands still", n)
	}
	other := live("f", "a", 1)
	other.State = EngineDraining
	r.do(EndpointsChanged{Mode: UpdateDelta, Engines: []Engine{other}})
	if n := to("unsafe"); n == 0 {
		t.Error("none of the class that runs")
	}
	r.after(3 * r.g.silenceTimeout)
	for id := uint64(200); id < 220 && !r.g.classStalled(e, r.g.classes["safe"]); id++ {
		r.arrive(id, "safe")
	}
	if !r.g.classStalled(e, r.g.classes["safe"]) {
		t.Error("no query was sent to find out, or more than one")
	}
	trial := e.inFlight[len(e.inFlight)-1]
	r.do(ProgressReported{RequestID: trial.request.id, Attempt: trial.index, Kind: ProgressFraction, Value: 0.5})
	if r.g.classStalled(e, r.g.classes["safe"]) {
		t.Error("mute after word of the class")
	}
}

func TestAFitComesBeforeAChanceSend(t *testing.T) {
	s, list := many(2)
	for seed := uint64(1); seed < 60; seed++ {
		g, _ := New(s, seed)
		g.Handle(0, EndpointsChanged{Mode: UpdateFull, Engines: list}, nil)
		near, far := g.engines[0], g.engines[1]
		if affinity(near.hash, 7) < affinity(far.hash, 7) {
			near, far = far, near
		}
		near.maxBound, far.zone = 3.9, "b" // under the weight of four; near and in the own zone all the same
		for _, a := range sends(g.Handle(0, RequestArrived{RequestID: 1, Class: "wide", Dataset: 7, Deadline: time.Second}, nil)) {
			if a.Engine != far.id {
				t.Fatalf("seed %d: sent by chance to %s while it fits at %s", seed, near.id, far.id)
			}
		}
	}
}

func TestNothingGrowsOverALongRun(t *testing.T) {
	s := settings()
	s.Classes[0].BlockedByLoad = true
	s.Rules.RetryBudgetWindow, s.Rules.RetryBudgetMin, s.Rules.RetryBudgetRatio = time.Second, 3, 0.1
	r := start(t, s)
	for id := uint64(1); id < 5000; id++ {
		gone, fresh := live(fmt.Sprintf("e%d", id-1), "a", 1), live(fmt.Sprintf("e%d", id), "a", 1)
		gone.State = EngineRemoved
		r.after(100 * msec).do(EndpointsChanged{Mode: UpdateDelta, Engines: []Engine{gone, fresh}})
		r.do(RequestArrived{RequestID: id, Class: "ordered", OrderKey: fmt.Sprint("k", id), Dataset: int64(id), Deadline: r.now + time.Second})
		r.do(ProgressReported{RequestID: id, Kind: ProgressAwaitingLoad})
		r.ends(id, 0, []Result{ResultServed, ResultConnectionLost, ResultCancelled}[id%3])
		if q := r.g.requests[id]; q != nil {
			r.do(ClientDisconnected{RequestID: id})
			for n := range q.attempts {
				r.ends(id, n, ResultCancelled)
			}
		}
		r.do(TimerFired{})
	}
	g := r.g
	held := 0
	for _, e := range g.engines {
		held += len(e.datasetLoadingUntil)
	}
	for what, n := range map[string]int{"taken": len(g.retryWindow.arrivals), "extra": len(g.retryWindow.retries), "engines": len(g.engines),
		"ids": len(g.enginesByID), "lanes": len(g.keyQueues), "data sets": len(g.popularity.counts),
		"queries": len(g.requests), "held for a turn": len(g.queued), "held sets": held} {
		if n > 300 {
			t.Errorf("%s: %d kept after 5000 queries and engines", what, n)
		}
	}
}

func TestAttemptsCancelledAsSlowShrinkTheEnginesTop(t *testing.T) {
	r := start(t, settings(), live("e", "a", 1))
	before := r.g.enginesByID["e"].maxBound
	for id := uint64(1); id < 9; id++ { // none of them is ever answered
		r.arrive(id, "wide")
		r.after(500 * msec).do(ProgressReported{RequestID: id, Kind: ProgressFraction, Value: 0.01})
		r.ends(id, 0, ResultCancelled)
		r.do(ClientDisconnected{RequestID: id})
		r.ends(id, 1, ResultCancelled)
	}
	if r.ticks(time.Second); r.g.enginesByID["e"].maxBound > 0.8*before {
		t.Fatalf("top %v after eight attempts cancelled as slow, %v before", r.g.enginesByID["e"].maxBound, before)
	}
}

func TestOverdueAttemptIsTriedElsewhereWithoutNotes(t *testing.T) {
	s := settings()
	s.ProgressInterval, s.Limits.MaxAttempts, s.Classes[1].ObjectiveStretch = 0, 2, 2.5
	r := start(t, s, live("e", "a", 1), live("f", "a", 2))
	first := sends(r.arrive(1, "wide"))
	if len(first) != 1 {
		t.Fatalf("want one send, got %+v", r.out)
	}
	if out := r.ticks(1500 * msec); has[CancelAttempt](out) {
		t.Fatalf("cancelled within its usual scatter: %+v", out)
	}
	if out := r.ticks(700 * msec); !has[CancelAttempt](out) { // usual 1 s, twice that is overdue; the aim is 5.5 s
		t.Fatalf("an answer twice as late as usual was waited for: %+v", out)
	}
	again := sends(r.ends(1, 0, ResultCancelled))
	if len(again) != 1 || again[0].Engine == first[0].Engine {
		t.Fatalf("want a send to the other engine than %q, got %+v", first[0].Engine, again)
	}
	if out := r.ticks(5 * time.Second); has[CancelAttempt](out) {
		t.Fatalf("cancelled though no attempt is left: %+v", out)
	}
}

func grantOf(out []Action) (g SetResources) {
	for _, a := range out {
		if got, ok := a.(SetResources); ok {
			g = got
		}
	}
	return g
}

func TestPriorityGoesByWorthOverWork(t *testing.T) {
	s := settings()
	s.Priorities = true
	r := start(t, s, live("e", "a", 1))
	id := uint64(0)
	rank := func(work time.Duration) int {
		id++
		out := r.do(RequestArrived{RequestID: id, Class: "safe", EstimatedWork: work, Deadline: r.now + time.Second})
		r.ends(id, 0, ResultServed)
		return grantOf(out).Priority
	}
	for range 50 {
		rank(100 * msec)
	}
	if short, usual, long := rank(40*msec), rank(100*msec), rank(800*msec); short <= usual || usual <= long {
		t.Fatalf("priorities of a short, a usual and a long query: %d, %d, %d", short, usual, long)
	}
}

func TestSpillNotesRaiseGrantsWhereCostIsUntold(t *testing.T) {
	s := settings()
	s.MemoryGrants = true
	r := start(t, s, live("e", "a", 1))
	var grant float64
	for id := uint64(1); id < 20; id++ { // each needs twice its estimate
		grant = grantOf(r.do(RequestArrived{RequestID: id, Class: "safe", EstimatedMemoryMB: 100, Deadline: r.now + time.Second})).MemoryMB
		if grant < 200 {
			r.do(ProgressReported{RequestID: id, Kind: ProgressSpilling, Value: 200 - grant})
		}
		r.ends(id, 0, ResultServed)
	}
	if grant < 180 || grant > 260 {
		t.Fatalf("granted %v MB of the 200 that are needed", grant)
	}
}

func TestPartFollowsToldLoadWithoutTenants(t *testing.T) {
	s := settings()
	s.Replicas = 100
	r := start(t, s, live("e", "a", 1), live("f", "a", 2))
	r.g.settings.ProgressInterval = time.Hour // nothing is silent here
	r.g.silenceTimeout = time.Hour
	for id := uint64(1); id <= 8; id++ {
		r.arrive(id, "unsafe")
	}
	held := float64(len(r.g.requests))
	if held < 2 {
		t.Fatalf("%v queries out, too few to test with", held)
	}
	for range 100 { // half of all that the two engines hold is ours
		r.do(HealthChecked{Engine: "e", Result: ResultServed, Load: LoadReport{Reported: true, CPUShare: 0.5, InFlight: held}})
		r.ticks(500 * msec)
	}
	if got := r.g.trafficShare(); got < 0.4 || got > 0.6 {
		t.Fatalf("a part of %.2f where half of what the engines hold is ours", got)
	}
	for range 200 {
		r.do(HealthChecked{Engine: "e", Result: ResultServed, Load: LoadReport{Reported: true, CPUShare: 0.5, InFlight: held * 60}})
	}
	if got := r.g.trafficShare(); got < 0.01 || got > 0.011 {
		t.Fatalf("a part of %v, under the equal one or over it", got)
	}
}

func TestProbesTellWhomToAvoid(t *testing.T) {
	s := settings()
	r := start(t, s, live("e", "a", 1), live("f", "a", 2))
	if out := r.arrive(1, "safe"); has[CheckHealth](out) {
		t.Fatalf("a probe where none is permitted: %+v", out)
	}
	s.Limits.HealthChecks, s.ReportsLoad = true, true
	r = start(t, s, live("e", "a", 1), live("f", "a", 2))
	probes := 0
	for id := uint64(1); id <= 40; id++ {
		r.do(HealthChecked{Engine: "e", Result: ResultServed, Load: LoadReport{Reported: true, CPUShare: 1, InFlight: 60}})
		r.do(HealthChecked{Engine: "f", Result: ResultServed, Load: LoadReport{Reported: true, CPUShare: 0.1, InFlight: 2}})
		r.do(HealthChecked{Engine: "stranger", Result: ResultServed, Load: LoadReport{Reported: true, CPUShare: 9, InFlight: 1e9}})
		if has[CheckHealth](r.arrive(id, "safe")) {
			probes++
		}
		r.wantSend(r.out, "f")
		r.ends(id, 0, ResultServed)
	}
	if probes < 28 {
		t.Fatalf("%d probes with 40 queries taken while an engine is busy", probes)
	}
	probes = 0
	for id := uint64(100); id < 200; id++ {
		r.do(HealthChecked{Engine: "e", Result: ResultServed, Load: LoadReport{Reported: true, InFlight: 0}})
		r.do(HealthChecked{Engine: "f", Result: ResultServed, Load: LoadReport{Reported: true, InFlight: 0}})
		if has[CheckHealth](r.arrive(id, "safe")) {
			probes++
		}
		r.ends(id, 0, ResultServed)
	}
	if probes < 20 || probes > 70 { // some must go on: else nobody learns that load is back
		t.Fatalf("%d probes with 100 queries taken while all are idle", probes)
	}
}

func TestHeavyQueryLeavesRoomForOthers(t *testing.T) {
	s := settings()
	r := start(t, s, live("e", "a", 1))
	for id := uint64(1); id <= 100; id++ {
		r.do(RequestArrived{RequestID: id, Class: "wide", EstimatedWork: time.Millisecond, Deadline: r.now + 9*time.Second})
		r.ends(id, 0, ResultServed)
	}
	r.do(RequestArrived{RequestID: 200, Class: "wide", EstimatedWork: time.Second, Deadline: r.now + 9*time.Second})
	if got, most := r.g.requests[200], 2*4.0; got == nil || got.weight > most {
		t.Fatalf("a query of a thousand times the usual work should weigh %v at most: %+v", most, got)
	}
}

func TestBoundOpensByWorthOverEstimatedWork(t *testing.T) {
	r := start(t, settings(), live("e", "a", 1), live("f", "a", 2))
	id := uint64(0)
	limit := func(class string, work time.Duration) float64 {
		id++
		r.do(RequestArrived{RequestID: id, Class: class, EstimatedWork: work, Deadline: r.now + time.Second})
		q := r.g.requests[id]
		if q == nil {
			t.Fatalf("query %d of %v refused by an idle gateway", id, work)
		}
		got := r.g.limit(q, &r.g.fleet)
		r.ends(id, 0, ResultServed)
		return got
	}
	for range 50 {
		limit("safe", 100*msec)
	}
	short, usual, long := limit("safe", 20*msec), limit("safe", 100*msec), limit("safe", 900*msec)
	if short <= usual || usual <= long || short > 3.1*long {
		t.Fatalf("limits of a short, a usual and a long query: %.1f, %.1f, %.1f", short, usual, long)
	}
	if got := limit("safe", 0); math.Abs(got-usual) > usual/10 {
		t.Fatalf("limit without an estimate %.1f, of a usual query %.1f", got, usual)
	}
	for range 50 { // a class of no worth must not spoil the usual
		r.g.classes["safe"].PriorityWeight = 0
		limit("safe", 100*msec)
	}
	if math.IsNaN(r.g.meanRank) || math.IsInf(r.g.meanRank, 0) {
		t.Fatalf("usual worth over work is %v", r.g.meanRank)
	}
}

func TestRationIsNotSpentOnWhatWaits(t *testing.T) {
	for _, back := range []time.Duration{0, 10 * time.Second} {
		s := settings()
		s.Rules.RetryBudgetWindow, s.Rules.RetryBudgetMin = back, 5
		r := start(t, s, live("e", "a", 1), live("f", "a", 2))
		r.arrive(1, "wide")
		out := r.after(500 * msec).do(ProgressReported{RequestID: 1, Kind: ProgressAwaitingMemory, Value: 1})
		if moved := has[CancelAttempt](out); moved != (back == 0) {
			t.Errorf("look-back %v: moved is %v", back, moved)
		}
	}
}

func TestOddReportsSpoilNothing(t *testing.T) {
	s := settings()
	s.Limits.HealthChecks, s.ReportsLoad = true, true
	r := start(t, s, live("e", "a", 1), live("f", "a", 2))
	for id, odd := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -7, 1e300} {
		for _, load := range []LoadReport{{Reported: true, CPUShare: odd, InFlight: -1}, {Reported: true, CPUShare: 0.5, InFlight: odd}, {Reported: true, CPUShare: odd, InFlight: odd}} {
			r.do(HealthChecked{Engine: "e", Result: ResultTimedOut, Load: load})
			r.do(HealthChecked{Engine: "e", Result: ResultServed, Load: load})
			r.do(HealthChecked{Engine: "", Result: ResultServed, Load: load})
		}
		r.after(20 * time.Second).do(TimerFired{})
		r.wantSend(r.arrive(uint64(id+1), "safe"), "")
		r.ends(uint64(id+1), 0, ResultServed)
	}
	for name, v := range map[string]float64{"level": r.g.fleet.loadLevel, "load": r.g.meanLoad, "theirs": r.g.traffic.reportedInFlight, "part": r.g.trafficShare()} {
		if math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
			t.Errorf("%s is %v", name, v)
		}
	}
}

func TestRefusalTellsWhatKeptTheQuery(t *testing.T) {
	cold := live("e", "a", 1)
	cold.StartKnown, cold.StartedAt = true, time.Minute
	gone := live("e", "a", 1)
	gone.State = EngineDraining
	for _, c := range []struct {
		want   RejectReason
		engine Engine
		set    func(g *Balancer, e *engine)
	}{
		{ReasonNoEndpoint, gone, func(*Balancer, *engine) {}},
		{ReasonSlowStart, cold, func(*Balancer, *engine) {}}, // the gateway itself has just started
		{ReasonEjected, live("e", "a", 1), func(g *Balancer, e *engine) { e.ejected, e.probationAt = true, time.Hour }},
		{ReasonEngineLimit, live("e", "a", 1), func(g *Balancer, e *engine) { e.backlog = 100 }},
		{ReasonFleetLimit, live("e", "a", 1), func(g *Balancer, e *engine) { g.fleet.backlog = 100 }},
	} {
		r := start(t, settings(), c.engine)
		c.set(r.g, r.g.enginesByID["e"])
		why := ReasonUnknownClass
		for _, a := range r.arrive(1, "safe") {
			if no, ok := a.(Reject); ok {
				why = no.Reason
			}
		}
		if why != c.want {
			t.Errorf("refused for %q, want %q", why, c.want)
		}
	}
}

// A bound that one bad period has driven far down must not bind once the pressure is over.
func TestBoundBindsOnlyUnderPressure(t *testing.T) {
	for _, c := range []struct {
		latency float64 // over the aim
		after   time.Duration
		open    bool
	}{
		{3, controlPeriod, false},
		{3, 3 * controlPeriod, true},
		{0.5, 0, true},
	} {
		r := start(t, settings(), live("e", "a", 1))
		f := &r.g.fleet
		f.observe(c.latency, 1)
		r.g.adjust(f)
		f.bound = minBound
		f.backlog = 2
		r.after(c.after).do(ClientDisconnected{}) // nothing but the time
		if open := r.g.fleetHasCapacity(&request{class: r.g.classes["safe"], weight: 1, quotaFactor: 1, valueFactor: 1}); open != c.open {
			t.Errorf("latency %v of the aim, %v later: open is %v", c.latency, c.after, open)
		}
	}
}

// A gateway that carries far more than an equal part must know it within seconds: its bounds
// are for that part, and until then it refuses what the engines have room for.
func TestPartIsKnownFromTheFirstReports(t *testing.T) {
	s := settings()
	s.Replicas = 100
	r := start(t, s, live("e", "a", 1), live("f", "a", 2))
	r.g.silenceTimeout = time.Hour
	for id := uint64(1); id <= 4; id++ {
		r.arrive(id, "unsafe")
	}
	held := float64(len(r.g.requests))
	for range 6 { // 3 s in which a fifth of what the two engines hold is ours
		for range 10 {
			r.do(HealthChecked{Engine: "e", Result: ResultServed, Load: LoadReport{Reported: true, CPUShare: -1, InFlight: held * 2.5}})
		}
		r.ticks(500 * msec)
	}
	if got := r.g.trafficShare(); got < 0.15 || got > 0.25 {
		t.Fatalf("a part of %.3f after 3 s, want a fifth", got)
	}
}

// An engine that holds few queries but has granted more memory than it has pages, and
// whatever it is sent makes that worse.
func TestEngineThatHasGrantedItsMemoryIsAvoided(t *testing.T) {
	for _, c := range []struct {
		short MemoryShortage
		avoid bool
	}{{ShortageSwap, true}, {ShortageQueue, false}} {
		s := settings()
		s.Shortage = c.short
		r := start(t, s, live("e", "a", 1), live("f", "a", 2))
		to := map[string]int{}
		for id := uint64(1); id <= 40; id++ {
			for range 5 {
				r.do(HealthChecked{Engine: "e", Result: ResultServed, Load: LoadReport{Reported: true, CPUShare: -1, InFlight: 2, MemoryShare: 1.5}})
				r.do(HealthChecked{Engine: "f", Result: ResultServed, Load: LoadReport{Reported: true, CPUShare: -1, InFlight: 2, MemoryShare: 0.3}})
			}
			for _, a := range sends(r.arrive(id, "safe")) {
				to[a.Engine]++
			}
			r.ends(id, 0, ResultServed)
		}
		if avoided := to["e"] == 0; avoided != c.avoid {
			t.Errorf("short memory %v: sent %v", c.short, to)
		}
	}
}

// The gateways that carry the traffic must be able to spend a cold engine's budget, and it
// grows with the engine: else a fleet that is half replaced stands idle while the rest jams.
func TestColdBudgetFollowsTrafficAndWarmth(t *testing.T) {
	s := settings()
	s.Replicas = 100
	cold := live("cold", "a", 1)
	cold.StartedAt, cold.StartKnown = time.Minute, true
	sent := func(mine float64, from time.Duration) (n int) {
		r := start(t, s)
		r.after(5 * time.Second).do(EndpointsChanged{Mode: UpdateFull, Engines: []Engine{cold}})
		r.after(from - 5*time.Second)
		for id := uint64(1); id <= 30; id++ {
			r.g.traffic.ownInFlight, r.g.traffic.reportedInFlight = mine, 10 // of ten queries that an engine holds
			n += len(sends(r.after(100*msec).arrive(id, "safe")))
			r.ends(id, 0, ResultServed)
		}
		return n
	}
	even, heavy, later := sent(0.1, 5*time.Second), sent(2, 5*time.Second), sent(0.1, 9*time.Second)
	if heavy < 10*max(even, 1) {
		t.Errorf("a gateway with a fifth of the traffic sent %d within a span, one with a hundredth %d", heavy, even)
	}
	if later <= even {
		t.Errorf("%d sent within a span to an engine nearly warm, %d to a cold one", later, even)
	}
}

// Of many gateways each hears of an engine only every few seconds: what it heard must steer
// it until then.
func TestToldLoadSteersForSeconds(t *testing.T) {
	r := start(t, settings(), live("e", "a", 1), live("f", "a", 2))
	r.g.silenceTimeout = time.Hour
	to := map[string]int{}
	for id := uint64(1); id <= 40; id++ {
		for range 5 {
			r.do(HealthChecked{Engine: "e", Result: ResultServed, Load: LoadReport{Reported: true, CPUShare: -1, InFlight: 30}})
			r.do(HealthChecked{Engine: "f", Result: ResultServed, Load: LoadReport{Reported: true, CPUShare: -1, InFlight: 2}})
		}
		for _, a := range sends(r.after(4*time.Second).arrive(id, "safe")) {
			to[a.Engine]++
		}
		r.ends(id, 0, ResultServed)
	}
	if to["e"] > to["f"]/8 {
		t.Errorf("4 s after the reports, sent %v", to)
	}
}

// What is dear for its worth is refused first where room is short, not by an engine at ease.
func TestDearQueryFitsAnEngineAtEase(t *testing.T) {
	r := start(t, settings(), live("e", "a", 1))
	e, dear := r.g.enginesByID["e"], &request{class: r.g.classes["wide"], weight: 4, quotaFactor: 1, valueFactor: 0.5}
	ease := r.g.limit(dear, &e.controlLoop)
	e.pressuredUntil, e.bound = r.now+time.Second, e.maxBound
	if pressed := r.g.limit(dear, &e.controlLoop); ease != e.maxBound || pressed != e.maxBound/2 {
		t.Errorf("of %.1f a dear query has %.1f at ease and %.1f under pressure, want all and half", e.maxBound, ease, pressed)
	}
}
