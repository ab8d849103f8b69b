package policy

import "time"

// attemptRunner starts and cancels attempts, within the attemptRules.
type attemptRunner struct {
	settings *Settings
	actions  *actionList
	rules    *attemptRules
	fleet    *fleet
	traffic  *trafficEstimate
}

// start is the only place where a request is sent to an engine. It reports whether the rules permit that.
func (r *attemptRunner) start(req *request, e *engine, now time.Duration) (started bool) {
	if !r.rules.mayStart(req, e, now) {
		return false
	}
	a := newAttempt(req, e, now)
	if a.index > 0 {
		r.rules.budget.spend(now)
	}
	r.fleet.reserve(a)
	r.traffic.observeSent(req)
	e.chargeSlowStart(req, r.traffic, now)
	if report, exceeded := e.checkOverload(now, req.expectedWorkMs, r.traffic.meanWorkMs); exceeded {
		r.actions.add(report)
	}
	if resources, set := r.resources(req); set {
		a.grantedMB = resources.MemoryMB
		r.actions.add(resources)
	}
	r.actions.add(StartAttempt{RequestID: req.id, Engine: e.id, Timeout: req.deadline - now})
	return true
}

// cancelForRetry cancels an attempt if its request may have another, and reports whether it did. The retry
// follows when the attempt's AttemptEnded arrives.
func (r *attemptRunner) cancelForRetry(a *attempt, now time.Duration) (cancelled bool) {
	return r.rules.permitsAttempt(a.request, now) && r.cancel(a)
}

// cancel cancels an attempt and reports whether it did. It does nothing if the settings don't permit that,
// the attempt was cancelled before, or its response has begun.
func (r *attemptRunner) cancel(a *attempt) (cancelled bool) {
	if a.cancelRequested || a.phase != attemptWaiting || !r.settings.Limits.Cancel {
		return false
	}
	a.cancelRequested = true
	r.actions.add(CancelAttempt{RequestID: a.request.id, Attempt: a.index})
	return true
}
