// Package lifecycle takes requests through their life: take in, admit, route, send,
// relay, book. It knows no wire: fronts, engine links and the roster meet it
// through the interfaces of this file. Decisions are the policy module's.
//
// A Core belongs to one goroutine, which also owns the Gateway in it.
package lifecycle

import (
	"cmp"
	"log/slog"
	"slices"
	"time"

	"flaxrelay/internal/metrics"
	"flaxrelay/internal/timerqueue"
	"flaxrelay/policy"
)

// Clock tells module time, which never goes back.
type Clock interface{ Now() time.Duration }

// Client is where a request came from. It is given exactly one answer, unless
// Core.Gone was called first.
type Client interface{ Respond(r *Request, a Response) }

// Links carries attempts to engines.
type EngineClient interface {
	// Send begins an attempt; Core.End ends it.
	Start(a *Attempt)
	// Drop gives an attempt up that has not ended. Core.End may be left out.
	Abandon(a *Attempt)
	// Withdraw takes an attempt back that has not been written, and tells whether it
	// could: nothing of it will reach its engine. Core.End is left to the caller.
	Withdraw(a *Attempt) bool
	// Hurry sets the priority of an attempt that is out.
	SetPriority(a *Attempt, priority int)
	// Engine tells of an engine's entry or of a change to it.
	UpdateEndpoint(e Endpoint)
}

// Engine is an entry of the roster with what the decisions don't need.
type Endpoint struct {
	policy.Engine
	Address string // where it listens
}

// Request is one query or load, from its last byte to its one final answer.
type Request struct {
	ID                string // the client's, passed on unchanged
	Class             string
	Tenant            string // who asks, where the settings name tenants; "": unsaid
	OrderKey          string // order key, of a class that is kept in order; "": none
	IdempotencyKey    string // idempotency key; "": none
	Statement         any    // what the front read, for links of the same wire
	Dataset           int64  // group of tables
	Deadline          time.Duration
	EstimatedWork     time.Duration // estimate; 0: none
	EstimatedMemoryMB float64       // estimate; 0: none
	ClientRetry       bool
	Client            Client
	ObserverData      any // the front's own, for the Learner

	query    uint64
	tries    []*Attempt
	out      int
	answered bool
	grant    float64
	priority int
	detail   any // of its latest error
}

// Attempt is one send of a request to one engine.
type Attempt struct {
	Request    *Request
	Engine     string        // by id: a new engine may have a gone one's address
	Timeout    time.Duration // from Sent
	StartedAt  time.Duration
	MemoryMB   float64 // to grant; 0: the engine's own choice
	Priority   int
	ClientData any // the links' own

	n        int
	ended    bool
	neverRan bool          // its end proves it
	notAfter time.Duration // it may not be written later; 0: no such limit
	timer    *timerqueue.Timer
}

// TooLate tells that the attempt may no longer be written: an earlier one may have
// run, and its key's window is about to close. Links ask before they write.
func (a *Attempt) DedupWindowClosed(now time.Duration) bool {
	return a.notAfter > 0 && now >= a.notAfter
}

// Ended tells whether the attempt is over.
func (a *Attempt) Ended() bool { return a.ended }

// Learner hears what requests have cost at their engines, once for each attempt that was
// served, or given up as its time was over.
type CostObserver interface {
	ObserveServed(r *Request, rep AttemptReport, elapsed time.Duration)
	ObserveTimeout(r *Request, elapsed time.Duration)
	// Over tells that nothing more will be heard of a request: its Note is free.
	Release(r *Request)
}

// Report is what came with the end of an attempt.
type AttemptReport struct {
	Result      any // the whole answer, for fronts of the same wire
	Work        time.Duration
	MemoryMB    float64
	Load        policy.LoadReport
	ErrorDetail any // of an error, for fronts of the same wire
}

// Core is the front end without its wires.
type Dispatcher struct {
	gateway *policy.Balancer
	clock   Clock
	timers  *timerqueue.Queue
	links   EngineClient
	learner CostObserver // nil: nobody
	stats   *metrics.Counters
	log     *slog.Logger
	round   time.Duration
	coldFor time.Duration // after its start an engine counts as cold
	classes map[string]policy.Class
	engines map[string]Endpoint // that the roster names and that are not gone

	last     uint64 // query given out last
	requests map[uint64]*Request
	unended  int // requests without a final answer
	events   []policy.Event
	actions  []policy.Action
	busy     bool
	over     []*Request // to be forgotten once no event waits
}

// New returns a core for the settings. SetLinks must follow before any event.
func New(set policy.Settings, seed uint64, clock Clock, timers *timerqueue.Queue, counters *metrics.Counters, l *slog.Logger) (*Dispatcher, error) {
	g, err := policy.New(set, seed)
	if err != nil {
		return nil, err
	}
	c := &Dispatcher{
		gateway: g, clock: clock, timers: timers, stats: counters, log: l, round: set.TickInterval, coldFor: set.Rules.WarmupTime,
		classes: map[string]policy.Class{}, engines: map[string]Endpoint{}, requests: map[uint64]*Request{},
	}
	for _, class := range set.Classes {
		c.classes[class.Name] = class
	}
	return c, nil
}

// SetLinks names where attempts go.
func (c *Dispatcher) SetEngineClient(l EngineClient) { c.links = l }

// SetLearner names who hears what requests have cost.
func (c *Dispatcher) SetCostObserver(l CostObserver) { c.learner = l }

// Class looks a class up by name.
func (c *Dispatcher) Class(name string) (policy.Class, bool) {
	class, ok := c.classes[name]
	return class, ok
}

// LongestDeadline is the longest time that a client of any class waits.
func (c *Dispatcher) LongestDeadline() (most time.Duration) {
	for _, class := range c.classes {
		most = max(most, class.Deadline)
	}
	return most
}

// Now is module time.
func (c *Dispatcher) Now() time.Duration { return c.clock.Now() }

// Unanswered is the number of requests that are owed an answer.
func (c *Dispatcher) Pending() int { return c.unended }

// Roster tells of the engine list, or of a change to it.
func (c *Dispatcher) UpdateEndpoints(mode policy.UpdateMode, engines []Endpoint) {
	c.stats.Add("discovery.updates")
	ev := policy.EndpointsChanged{Mode: mode}
	before := c.engines
	if mode == policy.UpdateFull || mode == policy.UpdateCached {
		c.engines = map[string]Endpoint{}
	}
	for _, e := range engines {
		ev.Engines = append(ev.Engines, e.Engine)
		c.links.UpdateEndpoint(e) // before the module may name it in a send
		if c.engines[e.ID] = e; e.State == policy.EngineRemoved {
			delete(c.engines, e.ID)
		}
	}
	// Guards against keeping connections to engines that a whole list no longer names.
	for id, e := range before {
		if _, ok := c.engines[id]; !ok && e.State != policy.EngineRemoved {
			e.State = policy.EngineRemoved
			c.links.UpdateEndpoint(e)
		}
	}
	c.tell(ev)
	c.withdrawUnsent()
}

// withdrawUnsent ends the attempts that still wait for a connection to an engine that
// drains or is gone: connections may take longer to come up than it may be sent more.
func (c *Dispatcher) withdrawUnsent() {
	var unsent []*Attempt
	for _, r := range c.requests {
		for _, a := range r.tries {
			if !a.ended && c.engines[a.Engine].State != policy.EngineReady && c.links.Withdraw(a) {
				unsent = append(unsent, a)
			}
		}
	}
	slices.SortFunc(unsent, func(a, b *Attempt) int { return cmp.Compare(a.Request.query, b.Request.query) })
	for _, a := range unsent {
		c.EndAttempt(a, StatusNotSent, AttemptReport{})
	}
}

// tell hands an event to the module and carries out what it says. Events that
// come up meanwhile wait their turn: a Gateway is not called from within a call.
func (c *Dispatcher) tell(ev policy.Event) {
	c.events = append(c.events, ev)
	if c.busy {
		return
	}
	c.busy = true
	for len(c.events) > 0 {
		ev, c.events = c.events[0], c.events[1:]
		c.actions = c.gateway.Handle(c.clock.Now(), ev, c.actions[:0])
		for _, a := range c.actions {
			c.route(a)
		}
	}
	c.events = c.events[:0]
	c.busy = false
	for _, r := range c.over {
		c.forget(r)
	}
	c.over = c.over[:0]
}
