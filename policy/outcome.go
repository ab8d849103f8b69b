package policy

const (
	overloadPeriods   = 4 // control periods for which an overloaded engine's limit applies
	maxEngineErrors   = 1 // errors of engines beyond which the request itself is considered faulty
	minRetryTimeShare = 4 // a retry needs the class's usual latency over this
)

// onAttemptEnded ends an attempt and, where the client still waits, retries or responds.
func (b *Balancer) onAttemptEnded(ev AttemptEnded) {
	a := b.attempt(ev.RequestID, ev.Attempt)
	if a == nil || a.ended() {
		return
	}
	req := a.request
	a.phase = attemptEnded
	a.result = ev.Result
	b.fleet.release(a)
	b.learn(a, ev)
	b.load.record(a.engine, ev.Load, b.now)
	if ev.Result.mayStillRun() {
		b.ordered.settle(req, b.now)
	}
	switch {
	case ev.Completed || req.completed:
		b.complete(req)
	case req.hasAttemptInFlight(): // its end will decide
	case req.engineErrors() > maxEngineErrors,
		milliseconds(req.deadline-b.now) <= req.class.latencyMs/minRetryTimeShare:
		b.rejectOrFail(req, ReasonRetryFutile)
	default:
		b.admit(req)
	}
}

// learn updates what is known of the attempt's class and engine from its end.
func (b *Balancer) learn(a *attempt, ev AttemptEnded) {
	e := a.engine
	switch ev.Result {
	case ResultServed:
		b.learnServed(a, ev)
	case ResultTimedOut: // the slowdown is unknown
		relativeLatency := milliseconds(ev.Elapsed) / a.request.latencyObjectiveMs()
		e.limiter.observe(relativeLatency, e.limiter.slowdown)
		b.fleet.limiter.observe(relativeLatency, b.fleet.limiter.slowdown)
	case ResultOverloaded:
		e.limiter.pressuredUntil = b.now + overloadPeriods*controlPeriod
		e.outlier.lastHeardAt = b.now
	case ResultConnectFailed, ResultConnectionLost:
		if e.outlier.recordConnectionFault(b.now, ev.Result) {
			b.outliers.recordFault(e, faultWeight, EjectedConnectionFaults, b.now)
		}
		e.slowStart.assumeRestart(b.now, ev.Result, b.rng)
	case ResultFailed:
		e.outlier.lastHeardAt = b.now
	case ResultUnknown, ResultCancelled, ResultNotSent: // say nothing of the engine
	}
}

// learnServed updates the class, the limits and the outlier state from a request that was served.
func (b *Balancer) learnServed(a *attempt, ev AttemptEnded) {
	req := a.request
	c := req.class
	latencyMs := milliseconds(ev.Elapsed)
	c.observeLatency(latencyMs, req.expectedWorkMs)
	relativeLatency := latencyMs / req.latencyObjectiveMs()
	slowdown := latencyMs / c.quickLatencyMs
	a.engine.limiter.observe(relativeLatency, slowdown)
	b.fleet.limiter.observe(relativeLatency, slowdown)
	if ev.Work > 0 {
		c.observeWork(milliseconds(ev.Work))
	} else if !b.settings.ReportsCost {
		c.observeWork(latencyMs * c.Threads)
	}
	c.observeMemory(req.estimatedMemoryMB, ev.MemoryMB, a.spilled)
	a.engine.outlier.recordServed(b.now)
	b.outliers.onActivity(a, b.now)
	b.outliers.blameErrors(req, a.engine, b.now)
}
