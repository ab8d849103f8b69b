package policy

import "time"

// outlierDetector ejects engines that are silent or that fail too often, and readmits them. It retries
// attempts whose engine is silent, whose response is lost, or that are overdue.
type outlierDetector struct {
	silence  silenceDetector
	actions  *actionList
	attempts *attemptRunner
}

// recordFault counts a fault of an engine, and ejects the engine if its fault rate is too high.
func (d *outlierDetector) recordFault(e *engine, weight float64, reason EjectionReason, now time.Duration) {
	if e.outlier.recordFault(weight) {
		d.eject(e, ejectedUntilServed, reason, now)
	}
}

// eject sets an engine's ejection to target, unless its present ejection is stricter. It adds an
// EngineEjected if the engine was in service before.
func (d *outlierDetector) eject(e *engine, target ejection, reason EjectionReason, now time.Duration) {
	if e.outlier.eject(target, now, d.silence.probationInterval()) {
		d.actions.add(EngineEjected{Engine: e.id, Reason: reason, InFlight: len(e.inFlight)})
	}
}

// onActivity handles a progress report or a served response of an attempt. It resets the lost responses of
// the attempt's class on the engine, readmits the engine if it is ejectedUntilActive, and may withdraw an
// assumed restart.
func (d *outlierDetector) onActivity(a *attempt, now time.Duration) {
	e := a.engine
	e.lostResponses.reset(a.request.class)
	if e.outlier.readmit() {
		e.limiter.readmit()
		d.actions.add(EngineReadmitted{Engine: e.id})
	}
	e.slowStart.withdrawAssumption(now, a.sentAt, e.outlier.connectionFaultAt)
}

// blameErrors counts the errors of a request's earlier attempts as faults of the engines that returned them.
// A request may cause errors itself, but this one did not, since another engine has served it.
func (d *outlierDetector) blameErrors(req *request, servedBy *engine, now time.Duration) {
	for _, earlier := range req.attempts {
		if earlier.endedInError() && earlier.engine != servedBy {
			d.recordFault(earlier.engine, errorWeight, EjectedErrors, now)
		}
	}
}

// check examines the attempts in flight at an engine. It retries attempts whose response is lost. If engines
// send no progress reports, it retries overdue attempts instead. If the engine itself is silent, check ejects
// the engine and retries its idempotent attempts elsewhere.
func (d *outlierDetector) check(e *engine, now time.Duration) {
	if len(e.inFlight) == 0 {
		return
	}
	silentAttempts := 0
	for _, a := range e.inFlight {
		switch {
		case d.silence.progressInterval == 0:
			d.retryIfOverdue(a, now)
		case a.phase != attemptStreaming:
			if d.silence.attemptSilence(a, now) > d.silence.timeout {
				silentAttempts++
			}
			d.retryIfLost(a, now)
		}
	}
	if !d.silence.engineSilent(e, silentAttempts, now) {
		return
	}
	d.eject(e, ejectedUntilActive, EjectedSilent, now)
	for _, a := range e.inFlight {
		if a.request.class.Effect == Idempotent {
			d.attempts.cancelForRetry(a, now)
		}
	}
}

// retryIfLost counts a lost response for the attempt's class on its engine and, unless the class is
// NonIdempotent, retries the attempt.
func (d *outlierDetector) retryIfLost(a *attempt, now time.Duration) {
	if a.responseLost || !d.silence.responseLost(a, now) {
		return
	}
	a.responseLost = true
	c := a.request.class
	a.engine.lostResponses.add(c, now+d.silence.probationInterval())
	if c.Effect != NonIdempotent {
		d.attempts.cancelForRetry(a, now)
	}
}

// retryIfOverdue retries an overdue idempotent attempt if the retry can still meet the latency objective, and
// then counts a fault of the engine. It is used if engines send no progress reports.
func (d *outlierDetector) retryIfOverdue(a *attempt, now time.Duration) {
	req := a.request
	if !d.silence.overdue(a, now) || req.class.Effect != Idempotent ||
		!req.retryMeetsObjective(now, req.attempts[0].sentAt) {
		return
	}
	if d.attempts.cancelForRetry(a, now) {
		d.recordFault(a.engine, overdueWeight, EjectedOverdue, now)
	}
}
