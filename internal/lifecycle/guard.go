package lifecycle

import (
	"log/slog"
	"time"

	"flaxrelay/internal/invariant"
	"flaxrelay/internal/metrics"
	"flaxrelay/policy"
)

// lateResponseMargin is how late a response may be, beyond the slack of the settings, before it counts as a
// violation. A response up to half a second late is worthless, but it is not a violation.
const lateResponseMargin = 500 * time.Millisecond

// guard checks the actions of this program against the rules, independently of the balancer, and
// reports each violation to the invariant checker.
type guard struct {
	limits        policy.Limits
	responseSlack time.Duration // how late a response may be
	invariants    *invariant.Checker
}

// permitSend reports whether the rules permit that the request of the attempt is written now.
func (g *guard) permitSend(a *Attempt, engineReady bool) bool {
	pending := !a.Ended() && !a.Request.completed()
	return g.check(pending, invariant.SendAfterCompletion, a) && g.check(engineReady, invariant.DrainedEndpoint, a)
}

// permitStart reports whether the rules permit a new attempt after the earlier attempts of its request.
// effect is the effect of the request's class.
func (g *guard) permitStart(a *Attempt, effect policy.Effect) bool {
	withinLimit := a.index < max(g.limits.MaxAttempts, 1)
	noneInFlight := true
	safe := true
	for _, earlier := range a.Request.attempts[:a.index] {
		noneInFlight = noneInFlight && (earlier.Ended() || g.limits.Hedging)
		safe = safe && (earlier.state == attemptNeverRan || effect != policy.NonIdempotent)
	}
	return g.check(withinLimit, invariant.RetryLimit, a) && g.check(noneInFlight, invariant.SingleInFlight, a) &&
		g.check(safe, invariant.RetryIdempotency, a)
}

// check returns whether the rule holds. If it does not hold, check reports a violation for the attempt.
func (g *guard) check(holds bool, rule invariant.Rule, a *Attempt) bool {
	if holds { // avoids the cost of creating the attributes
		return true
	}
	return g.invariants.Check(false, rule, slog.String("request", a.Request.ID),
		slog.String("engine", a.Engine), slog.Int("attempt", a.index))
}

// checkDeadline checks that the deadline of a request without a response has not passed by more than the
// rules permit.
func (g *guard) checkDeadline(r *Request, now time.Duration) {
	if late := now - r.Deadline; late > g.responseSlack+lateResponseMargin {
		g.invariants.Check(false, invariant.ResponseDeadline, slog.String("request", r.ID), slog.Duration("late", late))
	}
}

// PermitSend reports whether an attempt's request may be written now. Engine clients must call it directly
// before they write the request, and must end the attempt with StatusNotSent if it returns false. If the
// attempt's timeout or deduplication window has passed, PermitSend only increments a counter. If it returns
// false for any other reason, an invariant was violated.
func (d *Dispatcher) PermitSend(a *Attempt) bool {
	now := d.clock.Now()
	if a.DedupWindowClosed(now) || now >= a.timeoutAt() {
		// This is not a violation: the attempt's timer is due, or the attempt waited too long for its connection.
		d.counters.Increment(metrics.AttemptsWithheldLate)
		return false
	}
	return d.guard.permitSend(a, d.endpoints.ready(a.Engine))
}

// CheckPending checks that no pending request is past its deadline by more than the rules permit, and that
// the number of pending requests agrees with Pending. The process calls it before each report of its counters.
func (d *Dispatcher) CheckPending() {
	now := d.clock.Now()
	pending := d.requests.countPending(func(r *Request) { d.guard.checkDeadline(r, now) })
	if pending != d.requests.pending {
		d.guard.invariants.Check(false, invariant.ResponseOnce,
			slog.Int("pending", pending), slog.Int("counted", d.requests.pending))
	}
}
