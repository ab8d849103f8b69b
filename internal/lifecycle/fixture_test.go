package lifecycle_test

import (
	"log/slog"
	"testing"
	"time"

	"flaxrelay/internal/lifecycle"
	"flaxrelay/internal/metrics"
	"flaxrelay/internal/timerqueue"
	"flaxrelay/policy"
)

const (
	readClass  = "lookup"
	keyedClass = "load"
	writeClass = "write"

	requestDeadline  = time.Second // after its arrival
	dedupWindow      = 500 * time.Millisecond
	timerGranularity = 5 * time.Millisecond
)

// fixture is a dispatcher with two engines. It also implements the dispatcher's EngineClient and CostObserver, and the
// Client of all requests. It records the calls of their methods.
type fixture struct {
	*lifecycle.Dispatcher
	t           *testing.T
	now         time.Duration
	timers      *timerqueue.Queue
	counters    *metrics.Counters
	started     []*lifecycle.Attempt
	abandoned   []*lifecycle.Attempt
	unsent      bool // attempts wait for a connection and can be withdrawn
	endsAtStart bool // attempts end within Start because connections are refused
	updates     []lifecycle.Endpoint
	responses   []lifecycle.Response
	released    int
}

// newFixture returns a fixture whose dispatcher uses the default settings of the tests with the changes.
func newFixture(t *testing.T, changes ...func(*policy.Settings)) *fixture {
	t.Helper()
	f := &fixture{t: t, now: time.Hour, timers: timerqueue.New(), counters: metrics.New()}
	class := func(name string, effect policy.Effect) policy.Class {
		return policy.Class{
			Name: name, LatencyObjective: 100 * time.Millisecond, Deadline: requestDeadline,
			PriorityWeight: 1, Threads: 1, Effect: effect, DedupScope: policy.ScopeAll, DedupWindow: dedupWindow,
		}
	}
	settings := policy.Settings{
		Replicas: 1, Zone: "a", Kinds: []policy.Kind{{Name: "small", Cores: 4}}, TimerGranularity: timerGranularity,
		Classes: []policy.Class{
			class(readClass, policy.Idempotent), class(keyedClass, policy.IdempotentByKey),
			class(writeClass, policy.NonIdempotent),
		},
		Limits: policy.Limits{MaxAttempts: 3, Cancel: true},
	}
	for _, change := range changes {
		change(&settings)
	}
	var err error
	clock := clockFunc(func() time.Duration { return f.now })
	f.Dispatcher, err = lifecycle.NewDispatcher(
		settings, 1, clock, f.timers, f.counters, slog.New(slog.DiscardHandler),
	)
	if err != nil {
		t.Fatal(err)
	}
	f.SetEngineClient(f)
	f.SetCostObserver(f)
	f.UpdateEndpoints(policy.UpdateFull, []lifecycle.Endpoint{
		endpoint("e1", policy.EngineReady), endpoint("e2", policy.EngineReady),
	})
	f.updates = nil
	return f
}

// clockFunc is a lifecycle.Clock.
type clockFunc func() time.Duration

func (c clockFunc) Now() time.Duration { return c() }

// endpoint returns an entry of the endpoint list.
func endpoint(id string, state policy.EngineState) lifecycle.Endpoint {
	return lifecycle.Endpoint{Engine: policy.Engine{ID: id, Zone: "a", Kind: "small", State: state}, Address: id + ":1"}
}

// Start implements lifecycle.EngineClient, as do the methods after it.
func (f *fixture) Start(a *lifecycle.Attempt) {
	f.started = append(f.started, a)
	if f.endsAtStart {
		f.EndAttempt(a, lifecycle.StatusConnectionRefused, lifecycle.AttemptReport{})
	}
}

func (f *fixture) Abandon(a *lifecycle.Attempt)        { f.abandoned = append(f.abandoned, a) }
func (f *fixture) Withdraw(*lifecycle.Attempt) bool    { return f.unsent }
func (f *fixture) SetPriority(*lifecycle.Attempt, int) {}
func (f *fixture) UpdateEndpoint(e lifecycle.Endpoint) { f.updates = append(f.updates, e) }

// Release implements lifecycle.CostObserver, as do the methods after it.
func (f *fixture) Release(*lifecycle.Request)                                               { f.released++ }
func (f *fixture) ObserveTimeout(*lifecycle.Request, time.Duration)                         {}
func (f *fixture) ObserveServed(*lifecycle.Request, lifecycle.AttemptReport, time.Duration) {}

// Respond implements lifecycle.Client.
func (f *fixture) Respond(_ *lifecycle.Request, response lifecycle.Response) {
	f.responses = append(f.responses, response)
}

// accept accepts a new request of the class.
func (f *fixture) accept(class string) *lifecycle.Request {
	r := &lifecycle.Request{
		ID: "client-id", Class: class, Deadline: f.now + requestDeadline, Client: f, ObserverData: "observed",
	}
	f.Accept(r)
	return r
}

// attempt returns an attempt by its index in the order of the starts, counted from 0.
func (f *fixture) attempt(index int) *lifecycle.Attempt {
	f.t.Helper()
	if index >= len(f.started) {
		f.t.Fatalf("%d attempts were started, want at least %d", len(f.started), index+1)
	}
	return f.started[index]
}

// end ends an attempt with the status.
func (f *fixture) end(index int, status lifecycle.AttemptStatus) {
	f.t.Helper()
	f.EndAttempt(f.attempt(index), status, lifecycle.AttemptReport{})
}

// advance moves the clock and runs the timers that are due.
func (f *fixture) advance(by time.Duration) {
	f.now += by
	f.timers.RunDue(f.now)
}

// wantCount checks the value of a counter.
func (f *fixture) wantCount(counter metrics.Counter, want int64) {
	f.t.Helper()
	if got := f.counters.Get(counter); got != want {
		f.t.Errorf("%s is %d, want %d", counter.Name(), got, want)
	}
}
