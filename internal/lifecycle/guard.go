package lifecycle

import (
	"time"

	"flaxrelay/internal/invariant"
	"flaxrelay/policy"
)

// lateAnswerMargin is how late a final response may be beyond the slack of the settings before
// it counts as a violation: the rules grant half a second in which it only earns nothing.
const lateAnswerMargin = 500 * time.Millisecond

// Invariants returns the checker of the rules that this program must never break.
func (d *Dispatcher) Invariants() *invariant.Checker { return d.invariants }

// PermitSend is the guard of sending: engine clients must call it directly before they write an
// attempt's request, and write only if it returns true. Otherwise they end the attempt with
// StatusNotSent.
func (d *Dispatcher) PermitSend(a *Attempt) bool {
	now := d.clock.Now()
	if a.DedupWindowClosed(now) || now >= a.StartedAt+max(a.Timeout, minAttemptTimeout) {
		d.counters.IncrementByName("attempts.withheld.late") // its timer is due
		return false
	}
	r := a.Request
	pending := !a.Ended() && !r.completed()
	ready := d.endpoints[a.Engine].State == policy.EngineReady
	return d.check(pending, invariant.SendAfterCompletion, a) && d.check(ready, invariant.DrainedEndpoint, a)
}

// permitStart is the guard of repeating: it checks a new attempt against the earlier ones.
func (d *Dispatcher) permitStart(a *Attempt) bool {
	r := a.Request
	bounded := a.index < max(d.limits.MaxAttempts, 1)
	alone, safe := true, true
	for _, earlier := range r.attempts[:a.index] {
		alone = alone && (earlier.Ended() || d.limits.Hedging)
		safe = safe && (earlier.state == attemptNeverRan || d.classes[r.Class].Effect != policy.NonIdempotent)
	}
	return d.check(bounded, invariant.RetryLimit, a) && d.check(alone, invariant.SingleInFlight, a) &&
		d.check(safe, invariant.RetryIdempotency, a)
}

// check checks a rule for an attempt.
func (d *Dispatcher) check(holds bool, rule invariant.Rule, a *Attempt) bool {
	if holds { // without the cost of the attributes
		return true
	}
	return d.invariants.Check(false, rule, "request", a.Request.ID, "engine", a.Engine, "attempt", a.index)
}

// checkAnswer checks the time of a final response.
func (d *Dispatcher) checkAnswer(r *Request) {
	if late := d.clock.Now() - r.Deadline; late > d.responseSlack+lateAnswerMargin {
		d.invariants.Check(false, invariant.ResponseDeadline, "request", r.ID, "late", late)
	}
}

// CheckPending checks that each request that awaits its response still has the time for it, and
// that the number of those agrees with the counters.
func (d *Dispatcher) CheckPending() {
	pending := 0
	for _, r := range d.requests {
		if r.state != requestPending {
			continue
		}
		pending++
		d.checkAnswer(r)
	}
	if pending != d.pending {
		d.invariants.Check(false, invariant.ResponseOnce, "pending", pending, "counted", d.pending)
	}
}

// RetryAfter returns when a client may come back whose request was rejected before it was
// accepted; 0 where the settings don't permit to say so.
func (d *Dispatcher) RetryAfter() time.Duration {
	if !d.limits.RetryAfter {
		return 0
	}
	return d.limits.MaxRetryAfter
}
