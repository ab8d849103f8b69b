package policy

const (
	badPlanFactor     = 5.0   // usual latencies from which an attempt has a bad plan or a slow engine
	hopelessShare     = 0.7   // of the time left: a projected remainder beyond it ends a request early
	retryTimeFactor   = 1.5   // usual latencies that must be left for a retry of a slow attempt
	minProgress       = 0.001 // least share done that a projection is made from
	slowAttemptWindow = 10    // attempts cancelled as slow that an engine's slowdown is averaged over
)

// onProgress handles a progress report of an attempt in flight.
func (b *Balancer) onProgress(ev ProgressReported) {
	a := b.attempt(ev.RequestID, ev.Attempt)
	if a == nil || a.ended {
		return
	}
	a.lastHeardAt, a.engine.lastHeardAt = b.now, b.now
	a.waiting = ev.Kind == ProgressAwaitingMemory || ev.Kind == ProgressAwaitingLoad
	b.onActivity(a)
	if ev.Kind == ProgressAwaitingLoad {
		a.engine.datasetLoadingUntil[a.request.dataset] = b.now + 2*b.settings.ProgressInterval
	}
	if ev.Kind == ProgressSpilling {
		if !b.settings.ReportsCost {
			a.observeSpill(ev.Value)
		}
		return
	}
	if a.cancelled || a.request.answered || !b.settings.Limits.Cancel {
		return
	}
	if ev.Kind == ProgressFraction {
		b.onFraction(a, min(max(ev.Value, minProgress), 1))
	} else {
		b.onBlocked(a, ev.Kind)
	}
}

// onStreamStarted notes that an attempt's answer has begun.
func (b *Balancer) onStreamStarted(ev StreamStarted) {
	if a := b.attempt(ev.RequestID, ev.Attempt); a != nil {
		a.streaming, a.engine.lastHeardAt = true, b.now
	}
}

// onBlocked retries elsewhere an attempt that waits on its engine: for memory only once, since where two
// engines lack memory a third is no better. A limited retry budget is for faults.
func (b *Balancer) onBlocked(a *attempt, kind ProgressKind) {
	req := a.request
	permitted := kind == ProgressAwaitingLoad || len(req.attempts) == 1
	if permitted && b.settings.Rules.RetryBudgetWindow == 0 && req.class.Effect == Idempotent &&
		b.meetsObjective(req, a.sentAt) {
		b.retryElsewhere(a)
	}
}

// onFraction projects an attempt's end from the share that is done. An attempt on its way to a multiple of
// the usual latency, or past the deadline, is cancelled where a retry has time to finish; a second one as
// slow as the first shows that the request itself is expensive.
func (b *Balancer) onFraction(a *attempt, done float64) {
	req, e := a.request, a.engine
	usualMs, timeLeftMs := req.usualLatencyMs(), milliseconds(req.deadline-b.now)
	remainingMs := milliseconds(b.now-a.sentAt) * (1 - done) / done
	late := remainingMs > timeLeftMs
	slow := remainingMs > badPlanFactor*usualMs && b.meetsObjective(req, a.sentAt)
	retryFits := usualMs*retryTimeFactor < timeLeftMs
	switch {
	case len(req.attempts) == 1 && (slow || late) && retryFits && b.retryElsewhere(a):
		e.slowdown = ewma(e.slowdown, maxSlowdown, slowAttemptWindow) // the engine may be the cause
	case remainingMs > hopelessShare*timeLeftMs && mayReject(req): // it would use capacity until its deadline
		b.rejectOrFail(req, ReasonRetryFutile)
	}
}
