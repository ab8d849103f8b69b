// Package lifecycle carries each request from its arrival to its one final
// response: it accepts requests, has a policy.Balancer admit and place them,
// starts attempts at engines and relays their results. It knows no protocol:
// front ends, engine clients and discovery meet it through its interfaces.
package lifecycle

import (
	"context"
	"log/slog"
	"time"

	"flaxrelay/internal/invariant"
	"flaxrelay/internal/metrics"
	"flaxrelay/internal/timerqueue"
	"flaxrelay/policy"
)

// Clock reads a monotonic clock whose origin is arbitrary.
type Clock interface {
	Now() time.Duration
}

// Dispatcher tracks all requests and their attempts, and connects the balancer
// that decides with the clients and engines that act.
//
// It is not safe for concurrent use: the goroutine of the event loop owns it,
// with its balancer, its requests and their attempts. Clients, engine clients and
// observers may call its methods while it calls them.
type Dispatcher struct {
	balancer      *policy.Balancer
	clock         Clock
	timers        *timerqueue.Queue
	engineClient  EngineClient
	costObserver  CostObserver // may be nil
	counters      *metrics.Counters
	logger        *slog.Logger
	tickInterval  time.Duration
	warmupTime    time.Duration // for this long after its start an engine counts as warming up
	limits        policy.Limits
	responseSlack time.Duration // how late a final response may be
	invariants    *invariant.Checker
	tracing       bool // the steps of requests are logged
	classes       map[string]policy.Class
	endpoints     map[string]Endpoint // by engine ID; without removed engines

	lastPolicyID uint64
	requests     map[uint64]*Request // by policy ID, until they are released
	pending      int                 // requests in requestPending
	finishing    bool                // CompleteAll was called: whatever is accepted is rejected

	handling   bool // handleEvent is on the stack
	events     []policy.Event
	actions    []policy.Action // reused between calls of the balancer
	releasable []*Request      // to be released once the event queue is empty
}

// NewDispatcher returns a dispatcher for the settings. SetEngineClient must follow before
// any request or endpoint.
func NewDispatcher(
	settings policy.Settings, seed uint64, clock Clock, timers *timerqueue.Queue, counters *metrics.Counters, logger *slog.Logger,
) (*Dispatcher, error) {
	balancer, err := policy.New(settings, seed)
	if err != nil {
		return nil, err
	}
	d := &Dispatcher{
		balancer:      balancer,
		clock:         clock,
		timers:        timers,
		counters:      counters,
		logger:        logger,
		tickInterval:  settings.TickInterval,
		warmupTime:    settings.Rules.WarmupTime,
		limits:        settings.Limits,
		responseSlack: settings.Rules.ResponseSlack,
		invariants:    invariant.New(counters, logger),
		tracing:       logger.Enabled(context.Background(), slog.LevelDebug),
		classes:       map[string]policy.Class{},
		endpoints:     map[string]Endpoint{},
		requests:      map[uint64]*Request{},
	}
	for _, class := range settings.Classes {
		d.classes[class.Name] = class
	}
	return d, nil
}

// SetEngineClient sets the client that carries attempts to engines.
func (d *Dispatcher) SetEngineClient(client EngineClient) { d.engineClient = client }

// SetCostObserver sets the observer of what requests cost at their engines.
func (d *Dispatcher) SetCostObserver(observer CostObserver) { d.costObserver = observer }

// Class looks up a class by name.
func (d *Dispatcher) Class(name string) (policy.Class, bool) {
	class, ok := d.classes[name]
	return class, ok
}

// LongestDeadline returns the longest deadline of any class.
func (d *Dispatcher) LongestDeadline() (longest time.Duration) {
	for _, class := range d.classes {
		longest = max(longest, class.Deadline)
	}
	return longest
}

// Now returns the time of the dispatcher's clock.
func (d *Dispatcher) Now() time.Duration { return d.clock.Now() }

// Pending returns the number of requests that await their final response.
func (d *Dispatcher) Pending() int { return d.pending }

// handleEvent hands an event to the balancer and performs the actions that it
// returns. Events that arise meanwhile are queued, since the balancer must not be
// called again before its actions are performed.
func (d *Dispatcher) handleEvent(event policy.Event) {
	d.events = append(d.events, event)
	if d.handling {
		return
	}
	d.handling = true
	for next := 0; next < len(d.events); next++ {
		d.actions = d.balancer.Handle(d.clock.Now(), d.events[next], d.actions[:0])
		for _, action := range d.actions {
			d.perform(action)
		}
	}
	clear(d.events)
	d.events = d.events[:0]
	d.handling = false
	for _, r := range d.releasable {
		d.releaseIfIdle(r)
	}
	d.releasable = d.releasable[:0]
}
