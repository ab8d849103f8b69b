package lifecycle

import (
	"time"

	"flaxrelay/policy"
)

// Verdict is the kind of a final response.
type Verdict uint8

// The three verdicts. The zero value is the most cautious.
const (
	VerdictFailed   Verdict = iota // whether an engine ran the request is not said
	VerdictRejected                // a retry is harmless
	VerdictServed
)

var verdictNames = [...]string{"failed", "rejected", "served"}

// String returns the name of the verdict in counters.
func (v Verdict) String() string { return verdictNames[v] }

// Response is the final response to a request.
type Response struct {
	Verdict        Verdict
	RetryAfter     time.Duration // if rejected: no retry before this long from now; 0: unsaid
	DeadlinePassed bool          // not served, and the request's deadline has passed
	Forwarded      bool          // at least one attempt was started
	MayHaveRun     bool          // see Dispatcher.MayHaveRun
	Result         any           // if served
	ErrorDetail    any           // of the latest engine error; nil: none
}

// respond gives a request its final response. It has no effect on a request that
// is not pending.
func (d *Dispatcher) respond(policyID uint64, response Response) {
	r := d.requests[policyID]
	if r == nil || r.state != requestPending {
		return
	}
	// The balancer ends a request up to one tick before its deadline.
	response.DeadlinePassed = response.Verdict != VerdictServed && d.clock.Now() >= r.Deadline-d.tickInterval
	response.MayHaveRun = d.MayHaveRun(r)
	response.Forwarded = len(r.attempts) > 0
	response.ErrorDetail = r.lastErrorDetail
	d.counters.IncrementByName("requests.completed." + response.Verdict.String() + "." + r.Class)
	if response.DeadlinePassed {
		d.counters.IncrementByName("requests.completed-late." + r.Class)
	}
	d.checkAnswer(r)
	if d.tracing {
		d.trace("request.completed", r, "verdict", response.Verdict.String(), "attempts", len(r.attempts))
	}
	d.markCompleted(r)
	r.Client.Respond(r, response)
	d.releaseIfIdle(r)
}

// MayHaveRun reports whether an engine may have run the request although a retry of
// it is not harmless.
func (d *Dispatcher) MayHaveRun(r *Request) bool {
	return d.classes[r.Class].Effect != policy.Idempotent && r.mayHaveRun()
}

// CompleteAll gives every pending request its final response. It is for the end
// of a graceful shutdown, when clients would otherwise receive none: the balancer
// is notified that the deadlines have passed, and decides which requests may be
// retried and when.
// What is accepted from here on is rejected at once.
func (d *Dispatcher) CompleteAll() {
	d.finishing = true
	for policyID, r := range d.requests {
		if r.state == requestPending {
			d.handleEvent(policy.DeadlineTimer(policyID))
		}
		if r.state == requestPending { // the balancer lets a response that is being streamed go on
			d.respond(policyID, Response{Verdict: VerdictFailed})
			d.abandonRemaining(r)
		}
	}
}
