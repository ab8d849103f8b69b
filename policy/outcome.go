package policy

import "time"

const (
	maxEngineErrors  = 1 // with more errors from engines, the request itself is considered faulty
	retryTimeDivisor = 4 // a retry needs more time than the class's mean latency divided by this
)

// onAttemptEnded ends an attempt. If the client still waits for a response and no other attempt is in flight,
// onAttemptEnded retries the request or responds to it.
func (b *Balancer) onAttemptEnded(end AttemptEnded) {
	a := b.attempt(end.RequestID, end.Attempt)
	if a == nil || a.ended() {
		return
	}
	req := a.request
	a.phase = attemptEnded
	a.result = end.Result
	b.fleet.release(a)
	b.learn(a, end)
	b.load.record(a.engine, end.Load, b.now)
	if end.Result.mayStillRun() {
		b.ordered.settle(req, b.now)
	}
	switch {
	case end.Completed || req.completed:
		b.complete(req)
	case req.hasAttemptInFlight(): // retried or responded to when that attempt ends
	case req.retryFutile(b.now):
		b.rejectOrFail(req, ReasonRetryFutile)
	default:
		b.admit(req)
	}
}

// retryFutile reports whether a retry is expected to fail like the earlier attempts, or has too little time.
func (r *request) retryFutile(now time.Duration) bool {
	timeLeftMs := milliseconds(r.deadline - now)
	return r.engineErrors() > maxEngineErrors || timeLeftMs <= r.class.latencyMs/retryTimeDivisor
}

// learn updates the state of the attempt's engine and class from its result.
func (b *Balancer) learn(a *attempt, end AttemptEnded) {
	e := a.engine
	switch end.Result {
	case ResultServed:
		b.learnServed(a, end)
	case ResultTimedOut: // the slowdown is unknown
		relativeLatency := milliseconds(end.Elapsed) / a.request.latencyObjectiveMs()
		e.limiter.observe(relativeLatency, e.limiter.slowdown)
		b.fleet.limiter.observe(relativeLatency, b.fleet.limiter.slowdown)
	case ResultOverloaded:
		e.limiter.onOverloaded(b.now)
		e.outlier.lastHeardAt = b.now
	case ResultConnectFailed, ResultConnectionLost:
		if e.outlier.recordConnectionFault(b.now, end.Result) {
			b.outliers.recordFault(e, connectionFaultWeight, EjectedConnectionFaults, b.now)
		}
		e.slowStart.assumeRestart(b.now, end.Result, b.rng)
	case ResultFailed:
		e.outlier.lastHeardAt = b.now
	case ResultUnknown, ResultCancelled, ResultNotSent: // no information about the engine
	}
}

// learnServed updates the class, the limits and the outlier state after a request was served.
func (b *Balancer) learnServed(a *attempt, end AttemptEnded) {
	req := a.request
	c := req.class
	latencyMs := milliseconds(end.Elapsed)
	c.observeLatency(latencyMs, req.expectedWorkMs)
	relativeLatency := latencyMs / req.latencyObjectiveMs()
	slowdown := latencyMs / c.quickLatencyMs
	a.engine.limiter.observe(relativeLatency, slowdown)
	b.fleet.limiter.observe(relativeLatency, slowdown)
	if end.Work > 0 {
		c.observeWork(milliseconds(end.Work))
	} else if !b.settings.ReportsCost {
		c.observeWork(latencyMs * c.Threads)
	}
	c.observeMemory(req.estimatedMemoryMB, end.MemoryMB, a.spilled)
	a.engine.outlier.recordServed(b.now)
	b.outliers.onActivity(a, b.now)
	b.outliers.blameErrors(req, a.engine, b.now)
}
