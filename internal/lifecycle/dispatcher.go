// Package lifecycle manages each request from its arrival to its one final response.
//
// A front end creates a Dispatcher, sets its EngineClient, reports the endpoint list with UpdateEndpoints
// and passes each request that has arrived to Accept. The Dispatcher asks a policy.Balancer whether to admit
// the request and which engine to use, starts attempts through the EngineClient, and gives the response to
// the request's Client. Engine clients report the end of each attempt with EndAttempt.
//
// The package is independent of protocols: front ends, engine clients and discovery use it through its
// interfaces.
package lifecycle

import (
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

// Dispatcher connects the balancer, which makes the decisions, with clients and engines. Separate types
// hold the requests, the endpoints and the queued events, and check the invariants. The Dispatcher passes
// each event to these types.
//
// It is not safe for concurrent use: the goroutine of the event loop owns the Dispatcher, its balancer, its
// requests and their attempts. Clients, engine clients and observers may call methods of the Dispatcher
// from within the methods that it calls on them.
type Dispatcher struct {
	clock            Clock
	timers           *timerqueue.Queue
	engineClient     EngineClient
	counters         *metrics.Counters
	telemetry        telemetry
	costs            costReporter
	timerGranularity time.Duration
	limits           policy.Limits
	classes          map[string]policy.Class
	endpoints        endpointTable
	requests         requestTable
	queue            eventQueue
	guard            guard
	shuttingDown     bool // CompleteAll was called: new requests are rejected
}

// NewDispatcher returns a dispatcher for the settings. SetEngineClient must be called before the
// first request or endpoint.
func NewDispatcher(
	settings policy.Settings, seed uint64, clock Clock, timers *timerqueue.Queue,
	counters *metrics.Counters, logger *slog.Logger,
) (*Dispatcher, error) {
	balancer, err := policy.New(settings, seed)
	if err != nil {
		return nil, err
	}
	d := &Dispatcher{
		clock:            clock,
		timers:           timers,
		counters:         counters,
		telemetry:        newTelemetry(clock, counters, logger),
		timerGranularity: settings.TimerGranularity,
		limits:           settings.Limits,
		classes:          map[string]policy.Class{},
		endpoints:        newEndpointTable(settings.Rules.WarmupTime),
		requests:         newRequestTable(),
		guard: guard{
			limits:        settings.Limits,
			responseSlack: settings.Rules.ResponseSlack,
			invariants:    invariant.New(counters, logger),
		},
	}
	d.queue = eventQueue{balancer: balancer, clock: clock, perform: d.perform}
	for _, class := range settings.Classes {
		d.classes[class.Name] = class
	}
	return d, nil
}

// SetEngineClient sets the client that sends attempts to engines.
func (d *Dispatcher) SetEngineClient(client EngineClient) { d.engineClient = client }

// SetCostObserver sets the observer of the cost of requests. The observer is optional. If there is one, it must be
// set before the first request.
func (d *Dispatcher) SetCostObserver(observer CostObserver) { d.costs.observer = observer }

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

// Pending returns the number of requests that await their response.
func (d *Dispatcher) Pending() int { return d.requests.pending }

// Invariants returns the checker of the rules that this program must never break.
func (d *Dispatcher) Invariants() *invariant.Checker { return d.guard.invariants }

// RetryAfter returns the Retry-After of a request that is rejected without asking the balancer, or 0 if
// the settings do not permit a Retry-After.
func (d *Dispatcher) RetryAfter() time.Duration {
	if !d.limits.RetryAfter {
		return 0
	}
	return d.limits.MaxRetryAfter
}

// handleEvent passes an event to the balancer and performs the actions that the balancer returns. Once all
// queued events are handled, it releases the requests whose release was deferred.
func (d *Dispatcher) handleEvent(event policy.Event) {
	if empty := d.queue.handle(event); !empty {
		return
	}
	for _, r := range d.requests.releasable {
		d.releaseIfIdle(r)
	}
	d.requests.releasable = d.requests.releasable[:0]
}

// Accept accepts a request that has arrived completely. The request is pending from now on; its response may
// be given before Accept returns.
func (d *Dispatcher) Accept(request *Request) {
	d.requests.add(request)
	d.telemetry.requestAccepted(request)
	if d.shuttingDown {
		d.counters.Increment(metrics.RejectionsShutdown)
		d.respond(request.policyID, Response{Verdict: VerdictRejected, RetryAfter: d.RetryAfter()})
		return
	}
	d.handleEvent(policy.RequestArrived{
		RequestID:         request.policyID,
		Class:             request.Class,
		Tenant:            request.Tenant,
		OrderKey:          request.OrderKey,
		Dataset:           request.Dataset,
		Deadline:          request.Deadline,
		EstimatedWork:     request.EstimatedWork,
		EstimatedMemoryMB: request.EstimatedMemoryMB,
		ClientRetry:       request.ClientRetry,
	})
}

// ClientDisconnected announces that the client no longer waits for its response.
// It has no effect on a request that is not pending.
func (d *Dispatcher) ClientDisconnected(r *Request) {
	if r.state != requestPending {
		return
	}
	d.telemetry.requestDisconnected(r)
	d.complete(r)
	d.abandonRemaining(r)
}

// abandonRemaining notifies the balancer that a completed request no longer needs a response. The balancer
// then cancels the attempts of the request that are still in flight, if the settings permit this.
func (d *Dispatcher) abandonRemaining(r *Request) {
	d.handleEvent(policy.ClientDisconnected{RequestID: r.policyID})
	d.releaseIfIdle(r)
}

// complete marks a request as completed and withdraws its attempts that still wait for a connection.
// This does not require the permission to cancel (Limits.Cancel), since nothing of these attempts has
// reached an engine.
func (d *Dispatcher) complete(r *Request) {
	d.requests.complete(r)
	for _, a := range r.attempts {
		if !a.Ended() && d.engineClient.Withdraw(a) {
			d.EndAttempt(a, StatusNotSent, AttemptReport{})
		}
	}
}

// releaseIfIdle releases a request if it is completed and has no attempt in flight. While events are
// queued, the release is deferred, since the balancer may still start an attempt of the request, and each
// attempt must end.
func (d *Dispatcher) releaseIfIdle(r *Request) {
	if r.state != requestCompleted || r.inFlight > 0 {
		return
	}
	if d.queue.handling {
		d.requests.releasable = append(d.requests.releasable, r)
		return
	}
	d.requests.release(r)
	d.costs.release(r)
}

// CompleteAll gives every pending request its response, in no particular order. It is called at the end of a
// graceful shutdown, when clients would otherwise receive no response. The balancer handles the DeadlineTimer
// event of each request, and so decides whether the request is rejected or failed. Requests that are accepted
// later are rejected at once.
func (d *Dispatcher) CompleteAll() {
	d.shuttingDown = true
	for policyID, r := range d.requests.byID {
		if r.state == requestPending {
			d.handleEvent(policy.DeadlineTimer(policyID))
		}
		// A fallback: the balancer ends every request unless a response is being streamed, and the Dispatcher
		// never passes a StreamStarted to the balancer.
		if r.state == requestPending {
			d.respond(policyID, Response{Verdict: VerdictFailed})
			d.abandonRemaining(r)
		}
	}
}
