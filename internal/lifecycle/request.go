package lifecycle

import (
	"slices"
	"time"

	"flaxrelay/policy"
)

// defaultPriority is the priority of attempts until the balancer sets another one.
const defaultPriority = 1

// Request is one query or load. The exported fields are set by the front end
// before Dispatcher.Accept and do not change afterwards; all others belong to the
// Dispatcher.
type Request struct {
	ID                string        // the client's, forwarded unchanged; may occur twice
	Class             string        // name of its class
	Tenant            string        // whose quota it uses; "": none
	OrderKey          string        // requests of one key run one at a time, in order; "": none
	IdempotencyKey    string        // engines recognise repeats by it; "": none
	Statement         any           // as parsed by the front end, for an engine client of its protocol
	Dataset           int64         // group of tables that it reads or writes
	Deadline          time.Duration // instant at which the client gives up
	EstimatedWork     time.Duration // summed over its threads; 0: unknown
	EstimatedMemoryMB float64       // 0: unknown
	ClientRetry       bool          // the client marked it as a retry
	Client            Client        // receives the response
	ObserverData      any           // opaque, for the CostObserver; nil: not observed

	policyID        uint64 // identifies the request to the balancer
	state           requestState
	attempts        []*Attempt // in the order of their start
	inFlight        int        // attempts that have not ended
	memoryGrantMB   float64    // for the next attempts; 0: the engine's own choice
	priority        int
	lastErrorDetail any // of the latest engine error that the response may pass on
}

// requestState is the state of a request. States only advance.
type requestState uint8

const (
	requestNew       requestState = iota // not accepted yet
	requestPending                       // accepted: a final response is owed
	requestCompleted                     // responded to, or its client disconnected; attempts may be in flight
	requestReleased                      // no attempt is in flight, and the balancer has been notified of every end
)

// completed reports whether no response is owed any more.
func (r *Request) completed() bool { return r.state >= requestCompleted }

// mayHaveRun reports whether an engine may have run an attempt of the request.
func (r *Request) mayHaveRun() bool {
	return slices.ContainsFunc(r.attempts, func(a *Attempt) bool { return a.state != attemptNeverRan })
}

// Accept accepts a request that has arrived completely. From here on one final
// response is owed; it may be given before Accept returns.
func (d *Dispatcher) Accept(r *Request) {
	d.lastPolicyID++
	r.policyID = d.lastPolicyID
	r.priority = defaultPriority
	r.state = requestPending
	d.requests[r.policyID] = r
	d.pending++
	d.counters.IncrementByName("requests.accepted." + r.Class)
	if d.tracing {
		d.trace("request.accepted", r, "class", r.Class, "time_left", r.Deadline-d.clock.Now())
	}
	if d.finishing {
		d.counters.IncrementByName("rejections.shutdown")
		d.respond(r.policyID, Response{Verdict: VerdictRejected, RetryAfter: d.RetryAfter()})
		return
	}
	d.handleEvent(policy.RequestArrived{
		RequestID:         r.policyID,
		Class:             r.Class,
		Tenant:            r.Tenant,
		OrderKey:          r.OrderKey,
		Dataset:           r.Dataset,
		Deadline:          r.Deadline,
		EstimatedWork:     r.EstimatedWork,
		EstimatedMemoryMB: r.EstimatedMemoryMB,
		ClientRetry:       r.ClientRetry,
	})
}

// ClientDisconnected announces that the client no longer waits for its response.
// It has no effect on a request that is not pending.
func (d *Dispatcher) ClientDisconnected(r *Request) {
	if r.state != requestPending {
		return
	}
	d.counters.IncrementByName("requests.disconnected." + r.Class)
	if d.tracing {
		d.trace("request.disconnected", r)
	}
	d.markCompleted(r)
	d.abandonRemaining(r)
}

// abandonRemaining makes the balancer cancel the attempts of a completed request
// that are still in flight.
func (d *Dispatcher) abandonRemaining(r *Request) {
	d.handleEvent(policy.ClientDisconnected{RequestID: r.policyID})
	d.releaseIfIdle(r)
}

// markCompleted records that no response is owed any more, and withdraws the
// attempts that still wait for a connection. These need no permission to cancel,
// since their engines have received nothing of them.
func (d *Dispatcher) markCompleted(r *Request) {
	r.state = requestCompleted
	d.pending--
	for _, a := range r.attempts {
		if !a.Ended() && d.engineClient.Withdraw(a) {
			d.EndAttempt(a, StatusNotSent, AttemptReport{})
		}
	}
}

// releaseIfIdle drops a completed request that has no attempt in flight. While
// events are queued that waits, since the balancer may still start an attempt of
// the request, and each attempt must end.
func (d *Dispatcher) releaseIfIdle(r *Request) {
	switch {
	case r.state != requestCompleted || r.inFlight > 0:
	case d.handling:
		d.releasable = append(d.releasable, r)
	default:
		r.state = requestReleased
		delete(d.requests, r.policyID)
		if d.observes(r) {
			d.costObserver.Release(r)
		}
	}
}
