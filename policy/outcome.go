package policy

const (
	estimateWindow     = 50     // requests that estimates of work and ranks are averaged over
	firstAnswerWindow  = 10     // answers that a class's figures are averaged over at first
	maxAnswerWindow    = 50     // and later on
	quickLatencyGrowth = 1.0005 // growth of the quick latency with each answer: old minima fade
	objectiveToUsual   = 3      // a latency objective over this is the usual latency before any answer
	maxFailures        = 1      // errors of engines beyond which the request itself is considered faulty
	minRetryDivisor    = 4      // a retry needs the class's usual latency over this
)

// onAttemptEnded ends an attempt and, where the client still waits, retries or answers.
func (b *Balancer) onAttemptEnded(ev AttemptEnded) {
	a := b.attempt(ev.RequestID, ev.Attempt)
	if a == nil || a.ended {
		return
	}
	req := a.request
	a.ended, a.mayHaveRun = true, ev.Result.mayHaveRun()
	b.release(a)
	b.learn(a, ev)
	b.onLoadReport(a.engine, ev.Load)
	if ev.Result.mayStillRun() {
		b.settle(req)
	}
	switch {
	case ev.Completed || req.answered:
		b.finish(req)
	case req.hasOpenAttempt(): // its end will decide
	case req.failures() > maxFailures,
		milliseconds(req.deadline-b.now) <= req.class.latencyMs/minRetryDivisor:
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
		e.observe(relativeLatency, e.slowdown)
		b.fleet.observe(relativeLatency, b.fleet.slowdown)
	case ResultOverloaded:
		e.pressuredUntil = b.now + overloadPeriods*controlPeriod
		e.lastHeardAt = b.now
	case ResultConnectFailed, ResultConnectionLost:
		b.recordConnectionFault(e, ev.Result)
		b.assumeRestart(e, ev.Result)
	case ResultFailed:
		e.lastHeardAt, a.failed = b.now, true
	}
}

func (b *Balancer) learnServed(a *attempt, ev AttemptEnded) {
	c, e, req := a.request.class, a.engine, a.request
	latencyMs := milliseconds(ev.Elapsed)
	c.observeLatency(latencyMs, req.expectedWorkMs)
	relativeLatency, slowdown := latencyMs/req.latencyObjectiveMs(), latencyMs/c.quickLatencyMs
	e.observe(relativeLatency, slowdown)
	b.fleet.observe(relativeLatency, slowdown)
	if ev.Work > 0 {
		c.observeWork(milliseconds(ev.Work))
	} else if !b.settings.ReportsCost {
		c.observeWork(latencyMs * c.Threads)
	}
	c.observeMemory(req.estimatedMemoryMB, ev.MemoryMB, a.spilled)
	e.faultRate = ewmaWeighted(e.faultRate, 0, faultWeight/2)
	e.lastHeardAt, e.ejectedForFaults = b.now, false
	b.onActivity(a)
	// An error may be the request's own fault, but not where another engine serves it.
	for _, other := range req.attempts {
		if other.failed && other.engine != e {
			b.recordFault(other.engine, faultWeight/2, "it answers with errors")
		}
	}
}
