package policy

import "time"

// attemptRunner starts attempts that the attemptRules permit, and cancels attempts.
type attemptRunner struct {
	settings *Settings
	actions  *actionList
	rules    *attemptRules
	fleet    *fleet
	traffic  *trafficEstimate
}

// start sends the request to the engine and returns true, or returns false if the rules do not permit it. No
// other function sends requests to engines.
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

// cancelForRetry cancels an attempt if its request may have another one, and reports whether it did so. The
// retry starts when the AttemptEnded of the cancelled attempt arrives.
func (r *attemptRunner) cancelForRetry(a *attempt, now time.Duration) (cancelled bool) {
	return r.rules.permitsAttempt(a.request, now) && r.cancel(a)
}

// cancel cancels an attempt and reports whether it did so. It does nothing if the settings do not permit
// cancellation, or if the attempt is already cancelled, streaming or ended.
func (r *attemptRunner) cancel(a *attempt) (cancelled bool) {
	if a.cancelRequested || a.phase != attemptWaiting || !r.settings.Limits.Cancel {
		return false
	}
	a.cancelRequested = true
	r.actions.add(CancelAttempt{RequestID: a.request.id, Attempt: a.index})
	return true
}
