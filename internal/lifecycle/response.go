package lifecycle

import (
	"time"

	"flaxrelay/policy"
)

// Verdict is the kind of a final response.
type Verdict uint8

// The three verdicts. The zero value is the most cautious.
const (
	VerdictFailed   Verdict = iota // not served; an engine may have run the request, or its statement caused an error
	VerdictRejected                // not served; a retry is harmless
	VerdictServed
)

var verdictNames = [...]string{
	VerdictFailed:   "failed",
	VerdictRejected: "rejected",
	VerdictServed:   "served",
}

// String returns the name of the verdict in counters.
func (v Verdict) String() string { return verdictNames[v] }

// Response is the final response to a request.
type Response struct {
	Verdict          Verdict
	RetryAfter       time.Duration // if rejected: the client may retry after this time; 0: not stated
	DeadlinePassed   bool          // not served, and the deadline has passed or is at most the timer granularity away
	Forwarded        bool          // at least one attempt was started
	MayHaveHadEffect bool          // see Dispatcher.MayHaveHadEffect
	Result           any           // the complete result, if served
	ErrorDetail      any           // details of the latest engine error; nil: none
}

// respond gives a request its response. It has no effect on a request that
// is not pending.
func (d *Dispatcher) respond(policyID uint64, response Response) {
	request := d.requests.byID[policyID]
	if request == nil || request.state != requestPending {
		return
	}
	// The balancer ends a request up to Settings.TimerGranularity before its deadline.
	response.DeadlinePassed = response.Verdict != VerdictServed && d.clock.Now() >= request.Deadline-d.timerGranularity
	response.MayHaveHadEffect = d.MayHaveHadEffect(request)
	response.Forwarded = len(request.attempts) > 0
	response.ErrorDetail = request.lastErrorDetail
	d.telemetry.requestCompleted(request, &response)
	d.guard.checkDeadline(request, d.clock.Now())
	d.complete(request)
	request.Client.Respond(request, response)
	d.releaseIfIdle(request)
}

// MayHaveHadEffect reports whether an engine may have run the request and its class is not Idempotent, so
// that a second run may do harm.
func (d *Dispatcher) MayHaveHadEffect(r *Request) bool {
	return d.classes[r.Class].Effect != policy.Idempotent && r.mayHaveRun()
}
