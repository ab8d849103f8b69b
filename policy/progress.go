package policy

const (
	badPlanFactor     = 5.0   // remaining time, in usual latencies, above which the plan or the engine is bad
	hopelessShare     = 0.7   // share of the time left; a request that needs more is rejected early
	retryTimeFactor   = 1.5   // time that must be left to retry a slow attempt, in usual latencies
	minProgress       = 0.001 // smallest share done; a lower report counts as this
	slowAttemptWindow = 10    // cancelled slow attempts over which an engine's slowdown is averaged
)

// onProgress handles a progress report of an attempt in flight.
func (b *Balancer) onProgress(report ProgressReported) {
	a := b.attempt(report.RequestID, report.Attempt)
	if a == nil || a.ended() {
		return
	}
	a.lastHeardAt = b.now
	a.engine.outlier.lastHeardAt = b.now
	a.lastProgress = report.Kind
	b.outliers.onActivity(a, b.now)
	if report.Kind == ProgressAwaitingLoad {
		a.engine.bulkLoads[a.request.dataset] = b.now + 2*b.settings.ProgressInterval
	}
	if report.Kind == ProgressSpilling {
		if !b.settings.ReportsCost {
			a.observeSpill(report.Value)
		}
		return
	}
	if a.cancelRequested || a.request.completed || !b.settings.Limits.Cancel {
		return
	}
	if report.Kind == ProgressFraction {
		b.onFraction(a, min(max(report.Value, minProgress), 1))
	} else {
		b.onBlocked(a, report.Kind)
	}
}

// onStreamStarted records that an attempt's response has begun.
func (b *Balancer) onStreamStarted(ev StreamStarted) {
	a := b.attempt(ev.RequestID, ev.Attempt)
	if a == nil {
		return
	}
	if !a.ended() {
		a.phase = attemptStreaming
	}
	a.engine.outlier.lastHeardAt = b.now
}

// onBlocked cancels a blocked attempt for a retry. It does nothing if the settings have a retry budget, since
// the budget is kept for faults. An attempt that waits for memory is retried only once: if two engines lack
// memory, a third is not better.
func (b *Balancer) onBlocked(a *attempt, kind ProgressKind) {
	req := a.request
	permitted := kind == ProgressAwaitingLoad || len(req.attempts) == 1
	if permitted && !b.rules.budget.limited() && req.class.Effect == Idempotent &&
		req.retryMeetsObjective(b.now, a.sentAt) {
		b.attempts.cancelForRetry(a, b.now)
	}
}

// onFraction projects an attempt's remaining time from the share of the work done. A first attempt that still
// needs a multiple of the usual latency, or more time than is left, is cancelled for a retry if the retry has
// time to finish. A second attempt is not: if it is slow too, the request itself is expensive. Without a
// retry, a request that is unlikely to finish in time is rejected early if the client may send it again.
func (b *Balancer) onFraction(a *attempt, done float64) {
	req := a.request
	usualMs := req.usualLatencyMs()
	timeLeftMs := milliseconds(req.deadline - b.now)
	remainingMs := milliseconds(b.now-a.sentAt) * (1 - done) / done
	late := remainingMs > timeLeftMs
	slow := remainingMs > badPlanFactor*usualMs && req.retryMeetsObjective(b.now, a.sentAt)
	retryFits := usualMs*retryTimeFactor < timeLeftMs
	limiter := &a.engine.limiter
	tryElsewhere := len(req.attempts) == 1 && (slow || late) && retryFits
	if tryElsewhere && b.attempts.cancelForRetry(a, b.now) {
		// The engine may be the cause.
		limiter.slowdown = ewma(limiter.slowdown, maxSlowdown, slowAttemptWindow)
		return
	}
	if remainingMs > hopelessShare*timeLeftMs && mayReject(req) { // frees the capacity before the deadline
		b.rejectOrFail(req, ReasonRetryFutile)
	}
}

// observeSpill records the first report that an attempt lacks memory. It raises the class's grant factor
// halfway to the factor that would have sufficed, and by at least one step.
func (a *attempt) observeSpill(missingMB float64) {
	c := a.request.class
	estimateMB := a.request.estimatedMemoryMB
	if a.spilled || !(estimateMB > 0) {
		return
	}
	a.spilled = true
	needed := (a.grantedMB + missingMB) / estimateMB
	c.grantFactor = max(c.grantFactor*grantIncrease, (c.grantFactor+needed)/2)
}
