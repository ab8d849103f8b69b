package policy_test

import (
	"bytes"
	"container/heap"
	"encoding/binary"
	"fmt"
	"hash"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"path/filepath"
	"testing"
	"time"

	"flaxrelay/internal/golden"
	"flaxrelay/policy"
)

const (
	characterizationEvents     = 6000 // events handled in each scenario
	characterizationCheckpoint = 250  // events between two lines of the golden file
	characterizationState      = 10   // events between two looks at all that was learned
)

// scenario is one deployment that the characterization test plays.
type scenario struct {
	name     string
	settings policy.Settings
	engines  int
	rate     float64 // arrivals a second
	speed    float64 // work done a second on one idle core, in seconds
	faults   float64 // share of attempts that end in something other than a result
	estimate bool    // arrivals carry estimates of work and memory
}

// TestBalancer_DecisionsAreUnchanged plays generated events in a closed loop (attempts,
// progress reports and timers follow the actions) and compares a digest of all actions and,
// every ten events, of all that the balancer has learned, bit for bit, with the one of
// the golden file. A change of any decision, of the order of random draws or of a
// floating-point operation shows as a difference.
// The fields of the actions for operators are left out.
func TestBalancer_DecisionsAreUnchanged(t *testing.T) {
	var got bytes.Buffer
	for _, s := range scenarios() {
		playScenario(t, s, &got)
	}
	path := filepath.Join("testdata", "decisions.golden")
	golden.Compare(t, path, got.Bytes())
}

// Their names stay: they are in the golden file, and their length seeds the generator.
func scenarios() []scenario {
	plain := characterizationSettings()
	quotas := characterizationSettings()
	quotas.Tenants = []policy.Tenant{{Name: "north", Quota: 40, Share: 0.6}, {Name: "south", Quota: 15, Share: 0.4}}
	quotas.OverQuotaWeight = 0.2
	quotas.Shortage = policy.ShortageTrim
	swapping := characterizationSettings()
	swapping.Shortage = policy.ShortageSwap
	swapping.ReportsCost = true
	swapping.ReportsLoad = true
	swapping.Priorities = true
	swapping.Limits.Cancel = false
	swapping.Limits.MaxAttempts = 3
	healthChecks := characterizationSettings()
	healthChecks.ReportsLoad = true
	healthChecks.PullDiscovery = true
	healthChecks.Limits.HealthChecks = true
	healthChecks.MemoryGrants = true
	healthChecks.Priorities = true
	healthChecks.MaxGrantShare = 0.5
	noProgress := characterizationSettings()
	noProgress.ProgressInterval = 0
	noProgress.ReportsLoad = true
	retryBudget := characterizationSettings()
	retryBudget.Rules.RetryBudgetWindow = 2 * time.Second
	retryBudget.Rules.RetryBudgetMin = 3
	retryBudget.Rules.RetryBudgetRatio = 0.1
	retryBudget.Limits.RetryAfter = false
	manyReplicas := characterizationSettings()
	manyReplicas.Replicas = 60
	manyReplicas.ReportsLoad = true
	manyReplicas.ReportsCost = true
	manyReplicas.Shortage = policy.ShortageSwap
	hedging := characterizationSettings()
	hedging.Limits.Hedging = true
	hedging.Replicas = 1
	hedging.MemoryGrants = true
	return []scenario{
		{name: "plain", settings: plain, engines: 6, rate: 60, speed: 1, faults: 0.02},
		{name: "tenants", settings: quotas, engines: 5, rate: 90, speed: 1, faults: 0.05, estimate: true},
		{name: "paging", settings: swapping, engines: 8, rate: 50, speed: 0.7, faults: 0.1},
		{name: "probing", settings: healthChecks, engines: 6, rate: 70, speed: 1, faults: 0.05, estimate: true},
		{name: "no-notes", settings: noProgress, engines: 5, rate: 60, speed: 0.8, faults: 0.1},
		{name: "rationed", settings: retryBudget, engines: 4, rate: 60, speed: 1, faults: 0.3},
		{name: "many-gateways", settings: manyReplicas, engines: 12, rate: 12, speed: 1, faults: 0.1},
		{name: "copies", settings: hedging, engines: 5, rate: 80, speed: 0.8, faults: 0.15, estimate: true},
	}
}

func characterizationSettings() policy.Settings {
	const second, msec = time.Second, time.Millisecond
	return policy.Settings{
		Replicas: 3, Zone: "a", ProgressInterval: 500 * msec, TickInterval: 5 * msec,
		Kinds: []policy.Kind{{Name: "small", Cores: 4, MemoryMB: 4096}, {Name: "large", Cores: 8, MemoryMB: 8192}},
		Classes: []policy.Class{
			{
				Name: "lookup", LatencyObjective: 300 * msec, ObjectiveStretch: 1.5, Deadline: 2 * second,
				PriorityWeight: 1, Threads: 1, Effect: policy.Idempotent,
			},
			{
				Name: "report", LatencyObjective: 3 * second, ObjectiveStretch: 2.5, Deadline: 15 * second,
				PriorityWeight: 10, LateWeight: 0.3, Threads: 3, Effect: policy.Idempotent,
			},
			{
				Name: "write", LatencyObjective: second, Deadline: 6 * second, PriorityWeight: 5, Threads: 2,
				Effect: policy.NonIdempotent,
			},
			{
				Name: "keyed", LatencyObjective: second, Deadline: 6 * second, PriorityWeight: 5, Threads: 2,
				Effect: policy.IdempotentByKey, DedupScope: policy.ScopeCell, DedupWindow: 2 * second,
			},
			{
				Name: "keyed-zone", LatencyObjective: second, Deadline: 6 * second, PriorityWeight: 2, Threads: 1,
				Effect: policy.IdempotentByKey, DedupScope: policy.ScopeZone, DedupWindow: second,
			},
			{
				Name: "keyed-all", LatencyObjective: second, Deadline: 6 * second, PriorityWeight: 2, Threads: 1,
				Effect: policy.IdempotentByKey, DedupScope: policy.ScopeAll, DedupWindow: second,
			},
			{
				Name: "ordered", LatencyObjective: second, Deadline: 6 * second, PriorityWeight: 1, Threads: 1,
				Effect: policy.Idempotent, Ordered: true,
			},
			{
				Name: "ordered-write", LatencyObjective: second, Deadline: 6 * second, PriorityWeight: 3, Threads: 1,
				Effect: policy.NonIdempotent, Ordered: true,
			},
			{
				Name: "load", LatencyObjective: 4 * second, Deadline: 12 * second, PriorityWeight: 4, Threads: 2,
				Effect: policy.Idempotent, BulkLoad: true,
			},
			{
				Name: "reader", LatencyObjective: second, Deadline: 5 * second, PriorityWeight: 2, Threads: 1,
				Effect: policy.Idempotent, BlockedByLoad: true,
			},
			{
				Name: "stream", LatencyObjective: 2 * second, Deadline: 8 * second, PriorityWeight: 2, Threads: 1,
				Effect: policy.Idempotent, Streaming: true,
			},
			{
				Name: "placed", LatencyObjective: second, Deadline: 5 * second, PriorityWeight: 1, Threads: 1,
				Effect: policy.Idempotent, Zones: []string{"b"}, Kinds: []string{"large"},
			},
		},
		Rules: policy.Rules{
			ResponseSlack: 20 * msec, DrainGrace: 500 * msec, WarmupCapacity: 0.3, WarmupTime: 10 * second,
			OverloadFactor: 2.5, OverloadWindow: 3 * second, OrderSettleTime: 700 * msec, ResubscribeWithin: second,
		},
		Limits: policy.Limits{
			MaxAttempts: 3, Cancel: true, RetryAfter: true, MaxRetryAfter: 2 * second, ConnectTimeout: 200 * msec,
		},
	}
}

// workOfClass is the mean work of a request of a class.
var workOfClass = map[string]time.Duration{
	"lookup": 80 * time.Millisecond, "report": 2 * time.Second, "write": 300 * time.Millisecond,
	"keyed": 250 * time.Millisecond, "keyed-zone": 150 * time.Millisecond, "keyed-all": 150 * time.Millisecond,
	"ordered": 100 * time.Millisecond, "ordered-write": 120 * time.Millisecond, "load": time.Second,
	"reader": 200 * time.Millisecond, "stream": 400 * time.Millisecond, "placed": 150 * time.Millisecond,
}

// scheduled is an event that is due at an instant; apply may change the player first.
type scheduled struct {
	at       time.Duration
	sequence int
	event    policy.Event
	apply    func() policy.Event // in place of event; nil from it: nothing is due any more
}

type schedule []scheduled

func (s schedule) Len() int { return len(s) }
func (s schedule) Less(i, j int) bool {
	return s[i].at < s[j].at || s[i].at == s[j].at && s[i].sequence < s[j].sequence
}
func (s schedule) Swap(i, j int) { s[i], s[j] = s[j], s[i] }
func (s *schedule) Push(x any)   { *s = append(*s, x.(scheduled)) }
func (s *schedule) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}

// fakeEngine is an engine of the generated surroundings.
type fakeEngine struct {
	entry      policy.Engine
	attempts   int
	slowdown   float64
	hangsUntil time.Duration
}

// fakeRequest is a request of the generated surroundings and its attempts.
type fakeRequest struct {
	arrive    policy.RequestArrived
	work      time.Duration
	attempts  []*fakeAttempt
	completed bool
}

type fakeAttempt struct {
	engine *fakeEngine
	sent   time.Duration
	ended  bool
}

// player plays one scenario against a balancer.
type player struct {
	scenario
	balancer *policy.Balancer
	random   *rand.Rand
	now      time.Duration
	queue    schedule
	pushed   int
	engines  []*fakeEngine
	byID     map[string]*fakeEngine
	requests map[uint64]*fakeRequest
	last     uint64
	handled  int
	counts   [10]int
	digest   *digestWriter
}

func playScenario(t *testing.T, s scenario, out *bytes.Buffer) {
	t.Helper()
	balancer, err := policy.New(s.settings, 42)
	if err != nil {
		t.Fatal(err)
	}
	p := &player{
		scenario: s, balancer: balancer, random: rand.New(rand.NewPCG(7, uint64(len(s.name)))), now: time.Minute,
		byID: map[string]*fakeEngine{}, requests: map[uint64]*fakeRequest{}, digest: newDigestWriter(),
	}
	p.handle(p.firstList())
	p.in(0, p.nextArrival)
	p.in(time.Second, p.nextListEvent)
	for p.handled < characterizationEvents && len(p.queue) > 0 {
		due := heap.Pop(&p.queue).(scheduled)
		p.now = max(p.now, due.at)
		event := due.event
		if due.apply != nil {
			event = due.apply()
		}
		if event == nil {
			continue
		}
		p.handle(event)
		if p.handled%characterizationCheckpoint == 0 {
			fmt.Fprintf(out, "%s %d %v %016x\n", s.name, p.handled, p.counts, p.digest.hash.Sum64())
		}
	}
	if p.handled < characterizationEvents {
		t.Fatalf("%s: only %d events", s.name, p.handled)
	}
}

func (p *player) push(after time.Duration, s scheduled) {
	p.pushed++
	s.at = p.now + after
	s.sequence = p.pushed
	heap.Push(&p.queue, s)
}

func (p *player) in(after time.Duration, apply func() policy.Event) {
	p.push(after, scheduled{apply: apply})
}

func (p *player) event(after time.Duration, event policy.Event) {
	p.push(after, scheduled{event: event})
}

func (p *player) handle(event policy.Event) {
	p.handled++
	for _, action := range p.balancer.Handle(p.now, event, nil) {
		p.perform(action)
	}
	if p.handled%characterizationState == 0 {
		for _, figure := range p.balancer.LearnedState() {
			p.digest.float(figure)
		}
	}
}

// firstList names the engines of the start: half of them long started.
func (p *player) firstList() policy.Event {
	for range p.scenario.engines {
		p.addEngine(len(p.engines)%2 == 0)
	}
	return p.fullList(policy.UpdateCached)
}

func (p *player) addEngine(fresh bool) *fakeEngine {
	n := len(p.engines)
	e := &fakeEngine{slowdown: 0.8 + 0.4*p.random.Float64(), entry: policy.Engine{
		ID: fmt.Sprintf("s-%08x", n*2654435761), Zone: []string{"a", "b"}[n%2],
		Kind: []string{"large", "small", "large"}[n%3],
		Cell: int64(n % 3), State: policy.EngineReady, StartedAt: p.now, StartKnown: fresh,
	}}
	p.engines = append(p.engines, e)
	p.byID[e.entry.ID] = e
	return e
}

func (p *player) fullList(mode policy.UpdateMode) policy.Event {
	list := policy.EndpointsChanged{Mode: mode}
	for _, e := range p.engines {
		if e.entry.State != policy.EngineRemoved {
			list.Engines = append(list.Engines, e.entry)
		}
	}
	return list
}

// nextListEvent changes an engine (drain, end, return, hang, slowdown) and returns the update of the list, if any.
func (p *player) nextListEvent() policy.Event {
	p.in(time.Duration(200+p.random.IntN(1500))*time.Millisecond, p.nextListEvent)
	e := p.engines[p.random.IntN(len(p.engines))]
	switch p.random.IntN(8) {
	case 0:
		e.hangsUntil = p.now + 4*time.Second
		return nil
	case 1:
		e.slowdown = 0.5 + 3*p.random.Float64()
		return nil
	case 2:
		return p.fullList(policy.UpdateFull)
	case 3:
		return policy.EndpointsChanged{Mode: policy.UpdateFailed}
	case 4:
		e.entry.State = policy.EngineDraining
	case 5:
		e.entry.State = policy.EngineRemoved
		if p.random.IntN(2) == 0 {
			replacement := p.addEngine(true)
			return policy.EndpointsChanged{
				Mode: policy.UpdateDelta, Engines: []policy.Engine{e.entry, replacement.entry},
			}
		}
	default:
		if e.entry.State != policy.EngineReady {
			e.entry.State = policy.EngineReady
			e.entry.StartKnown = true
			e.entry.StartedAt = p.now
		}
	}
	return policy.EndpointsChanged{Mode: policy.UpdateDelta, Engines: []policy.Engine{e.entry}}
}

func (p *player) nextArrival() policy.Event {
	rate := p.rate
	if int(p.now/(5*time.Second))%3 == 2 { // a burst
		rate *= 2
	}
	p.in(time.Duration(p.random.ExpFloat64()/rate*float64(time.Second)), p.nextArrival)
	p.last++
	class := p.class()
	req := &fakeRequest{work: time.Duration(float64(workOfClass[class.Name]) * (0.3 + p.random.ExpFloat64()))}
	req.arrive = policy.RequestArrived{
		RequestID: p.last, Class: class.Name, Dataset: int64(math.Sqrt(float64(p.random.IntN(400)))),
		Deadline: p.now + time.Duration((0.8+0.2*p.random.Float64())*float64(class.Deadline)),
		Tenant:   []string{"north", "south", "stranger", ""}[p.random.IntN(4)], ClientRetry: p.random.IntN(9) == 0,
	}
	if class.Ordered && p.random.IntN(8) > 0 {
		req.arrive.OrderKey = fmt.Sprint("key-", p.random.IntN(4))
	}
	if p.estimate {
		req.arrive.EstimatedWork = time.Duration(float64(req.work) * (0.5 + p.random.Float64()))
		req.arrive.EstimatedMemoryMB = 20 + 200*p.random.Float64()
	}
	if p.random.IntN(200) == 0 {
		req.arrive.Class = "no such class"
	}
	p.requests[p.last] = req
	if p.random.IntN(25) == 0 {
		id := p.last
		p.in(time.Duration(p.random.IntN(1500))*time.Millisecond, func() policy.Event {
			req.completed = true
			return policy.ClientDisconnected{RequestID: id}
		})
	}
	return req.arrive
}

func (p *player) class() policy.Class {
	if p.random.IntN(2) == 0 {
		return p.settings.Classes[0]
	}
	return p.settings.Classes[p.random.IntN(len(p.settings.Classes))]
}

// perform carries out an action as the surroundings do, and writes it to the digest.
func (p *player) perform(action policy.Action) {
	switch a := action.(type) {
	case policy.StartAttempt:
		p.record(0, a.RequestID, a.Engine, a.Timeout)
		p.send(a)
	case policy.SetResources:
		p.record(1, a.RequestID, a.MemoryMB, a.Priority)
	case policy.CancelAttempt:
		p.record(2, a.RequestID, a.Attempt)
		p.in(time.Millisecond, func() policy.Event { return p.end(a.RequestID, a.Attempt, policy.ResultCancelled) })
	case policy.CheckHealth:
		p.record(3, a.Engine)
		p.event(
			2*time.Millisecond,
			policy.HealthChecked{Engine: a.Engine, Result: policy.ResultServed, Load: p.load(p.byID[a.Engine])},
		)
	case policy.Reject:
		p.record(4, a.RequestID, a.RetryAfter, int(a.Reason))
		p.complete(a.RequestID)
	case policy.Fail:
		p.record(5, a.RequestID)
		p.complete(a.RequestID)
	case policy.SetTimer:
		p.record(6, a.After, a.Token)
		p.event(a.After, policy.TimerFired{Token: a.Token})
	case policy.Subscribe:
		p.record(7)
		p.in(30*time.Millisecond, func() policy.Event { return p.fullList(policy.UpdateFull) })
	case policy.EngineEjected, policy.EngineReadmitted:
		p.record(8)
	default:
		p.record(9)
	}
}

func (p *player) record(kind int, values ...any) {
	p.counts[kind]++
	p.digest.write(kind, p.now, values)
}

func (p *player) complete(requestID uint64) {
	if req := p.requests[requestID]; req != nil {
		req.completed = true
	}
}

func (p *player) send(send policy.StartAttempt) {
	req := p.requests[send.RequestID]
	e := p.byID[send.Engine]
	a := &fakeAttempt{engine: e, sent: p.now}
	n := len(req.attempts)
	req.attempts = append(req.attempts, a)
	e.attempts++
	end := func(after time.Duration, result policy.Result) {
		p.in(after, func() policy.Event { return p.end(send.RequestID, n, result) })
	}
	end(send.Timeout, policy.ResultTimedOut)
	took := p.duration(req, e)
	switch {
	case e.entry.State == policy.EngineRemoved:
		end(time.Millisecond, policy.ResultConnectFailed)
		return
	case p.now < e.hangsUntil:
		return
	case e.attempts > 40:
		end(time.Millisecond, policy.ResultOverloaded)
		return
	case p.random.Float64() < p.faults:
		results := []policy.Result{
			policy.ResultFailed, policy.ResultOverloaded, policy.ResultConnectFailed, policy.ResultConnectionLost,
			policy.ResultUnknown, policy.ResultNotSent, policy.ResultTimedOut,
		}
		if k := p.random.IntN(len(results) + 1); k < len(results) {
			end(time.Duration(float64(took)*p.random.Float64()), results[k])
		}
		return
	}
	end(took, policy.ResultServed)
	p.reportProgress(req, n, took)
}

// duration is how long an engine takes for a request, given its load.
func (p *player) duration(req *fakeRequest, e *fakeEngine) time.Duration {
	crowding := 1 + float64(e.attempts*e.attempts)/100
	return time.Duration(float64(req.work)*crowding*e.slowdown/p.speed) + time.Millisecond
}

// reportProgress schedules progress reports of an attempt: now and then a wait or a spill.
func (p *player) reportProgress(req *fakeRequest, n int, took time.Duration) {
	id := req.arrive.RequestID
	if p.settings.Classes[0].Name != req.arrive.Class && p.random.IntN(3) == 0 {
		p.event(took/3, policy.StreamStarted{RequestID: id, Attempt: n})
	}
	if p.settings.ProgressInterval == 0 {
		return
	}
	for at := p.settings.ProgressInterval; at < took; at += p.settings.ProgressInterval {
		report := policy.ProgressReported{
			RequestID: id, Attempt: n, Kind: policy.ProgressFraction, Value: float64(at) / float64(took),
		}
		switch p.random.IntN(12) {
		case 0:
			report.Kind = policy.ProgressSpilling
			report.Value = 100 * p.random.Float64()
		case 1:
			report.Kind = policy.ProgressAwaitingMemory
		case 2:
			report.Kind = policy.ProgressAwaitingLoad
		case 3:
			continue
		}
		p.event(at, report)
	}
}

// end ends an attempt unless it has ended; nil where it has.
func (p *player) end(requestID uint64, n int, result policy.Result) policy.Event {
	req := p.requests[requestID]
	if n >= len(req.attempts) || req.attempts[n].ended {
		return nil
	}
	a := req.attempts[n]
	a.ended = true
	a.engine.attempts--
	outcome := policy.AttemptEnded{
		RequestID: requestID, Attempt: n, Result: result, Elapsed: p.now - a.sent,
		Load: policy.LoadReport{CPUShare: -1, InFlight: -1},
	}
	if result == policy.ResultServed {
		req.completed = true
		outcome.Work = req.work
		outcome.MemoryMB = 30 + 100*p.random.Float64()
		if !p.settings.ReportsCost {
			outcome.Work = 0
			outcome.MemoryMB = 0
		}
	}
	if result == policy.ResultServed || result == policy.ResultFailed {
		outcome.Load = p.load(a.engine)
	}
	outcome.Completed = req.completed
	return outcome
}

func (p *player) load(e *fakeEngine) policy.LoadReport {
	held := float64(e.attempts)
	return policy.LoadReport{
		Reported: p.settings.ReportsLoad, CPUShare: min(held/8, 1), InFlight: held * (0.9 + 0.2*p.random.Float64()),
		Queued: max(held-8, 0), MemoryShare: held / 6, DiskShare: min(held/10, 1),
	}
}

// digestWriter hashes actions in a form that doesn't depend on Go names.
type digestWriter struct {
	hash hash.Hash64
}

func newDigestWriter() *digestWriter { return &digestWriter{hash: fnv.New64a()} }

func (d *digestWriter) write(kind int, now time.Duration, values []any) {
	b := binary.BigEndian.AppendUint64([]byte{byte(kind)}, uint64(now))
	for _, value := range values {
		switch v := value.(type) {
		case uint64:
			b = binary.BigEndian.AppendUint64(b, v)
		case int:
			b = binary.BigEndian.AppendUint64(b, uint64(v))
		case time.Duration:
			b = binary.BigEndian.AppendUint64(b, uint64(v))
		case float64:
			b = binary.BigEndian.AppendUint64(b, math.Float64bits(v))
		case string:
			b = append(append(b, v...), 0)
		default:
			panic(fmt.Sprintf("no digest of %T", value))
		}
	}
	d.hash.Write(b)
}

func (d *digestWriter) float(value float64) {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], math.Float64bits(value))
	d.hash.Write(b[:])
}

// BenchmarkDecision measures one arrival with its outcome at a balancer of 40 engines.
func BenchmarkDecision(b *testing.B) {
	settings := characterizationSettings()
	balancer, err := policy.New(settings, 1)
	if err != nil {
		b.Fatal(err)
	}
	now := time.Minute
	list := policy.EndpointsChanged{Mode: policy.UpdateFull}
	for i := range 40 {
		list.Engines = append(
			list.Engines,
			policy.Engine{ID: fmt.Sprint("engine-", i), Zone: "a", Kind: "large", State: policy.EngineReady},
		)
	}
	actions := balancer.Handle(now, list, nil)
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		now += time.Millisecond
		id := uint64(i + 1)
		actions = balancer.Handle(
			now,
			policy.RequestArrived{RequestID: id, Class: "lookup", Dataset: int64(i % 20), Deadline: now + time.Second},
			actions[:0],
		)
		actions = balancer.Handle(now, policy.AttemptEnded{
			RequestID: id, Result: policy.ResultServed, Elapsed: 90 * time.Millisecond, Completed: true,
		}, actions[:0])
		if i%100 == 0 {
			actions = balancer.Handle(now, policy.TimerFired{}, actions[:0])
		}
	}
}
