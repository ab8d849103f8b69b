package policy

import (
	"slices"
	"time"
)

// mayHaveRun reports whether the request may have had an effect.
func (r Result) mayHaveRun() bool {
	return r != ResultOverloaded && r != ResultConnectFailed && r != ResultNotSent
}

// mayStillRun reports whether the attempt may still run on its engine.
func (r Result) mayStillRun() bool {
	return r == ResultTimedOut || r == ResultConnectionLost || r == ResultCancelled || r == ResultUnknown
}

// mayReject reports whether a client may safely send the request again.
func mayReject(req *request) bool {
	return req.class.Effect == Idempotent ||
		req.class.Effect == IdempotentByKey && req.class.DedupScope == ScopeAll ||
		!slices.ContainsFunc(req.attempts, func(a *attempt) bool { return a.mayHaveRun })
}

// mayRetry reports whether the request may have another attempt once those in flight have ended.
func (b *Balancer) mayRetry(req *request) bool {
	attemptsLeft := len(req.attempts) < max(b.settings.Limits.MaxAttempts, 1)
	if req.answered || !attemptsLeft || !b.withinRetryBudget(req) {
		return false
	}
	c := req.class
	for _, a := range req.attempts {
		expired := c.Effect == IdempotentByKey && b.now-a.sentAt >= c.DedupWindow
		if a.mayHaveRun && (c.Effect == NonIdempotent || expired) {
			return false
		}
	}
	return true
}

// mayStart checks all rules for sending the request to the engine.
func (b *Balancer) mayStart(req *request, e *engine) bool {
	c := req.class
	if e.state != EngineReady || b.now >= req.deadline || !b.mayRetry(req) ||
		!allows(c.Zones, e.zone) || !allows(c.Kinds, e.kind) {
		return false
	}
	for _, a := range req.attempts {
		if !a.ended && !b.settings.Limits.Hedging {
			return false
		}
		if a.mayHaveRun && c.Effect == IdempotentByKey && !sharesDedup(c.DedupScope, a.engine, e) {
			return false
		}
	}
	return b.atHead(req) && b.withinWarmupBudget(req, e)
}

// sharesDedup reports whether two engines drop repeats of each other's idempotency keys.
func sharesDedup(scope DedupScope, x, y *engine) bool {
	return x == y || scope == ScopeAll || scope == ScopeZone && x.zone == y.zone ||
		scope == ScopeCell && x.cell == y.cell
}

// allows reports whether a placement list, where an empty one permits all, names the value.
func allows(list []string, value string) bool { return len(list) == 0 || slices.Contains(list, value) }

// withinRetryBudget reports whether the retry budget has room for another attempt.
func (b *Balancer) withinRetryBudget(req *request) bool {
	rules := &b.settings.Rules
	if len(req.attempts) == 0 || rules.RetryBudgetWindow == 0 {
		return true
	}
	b.retryWindow.expire(b.now - rules.RetryBudgetWindow)
	budget := rules.RetryBudgetMin + rules.RetryBudgetRatio*float64(len(b.retryWindow.arrivals))
	return float64(len(b.retryWindow.retries)+1) <= budget
}

// startAttempt is the only place where a request is sent to an engine.
func (b *Balancer) startAttempt(req *request, e *engine) {
	if !b.mayStart(req, e) {
		b.rejectOrFail(req, ReasonAttemptsExhausted)
		return
	}
	a := newAttempt(req, e, b.now)
	if a.index > 0 && b.settings.Rules.RetryBudgetWindow > 0 {
		b.retryWindow.addRetry(b.now)
	}
	b.reserve(a)
	b.traffic.observeWeight(req.weight)
	b.spendWarmupBudget(req, e)
	b.checkWarmup(req, e)
	b.setResources(a)
	b.emit(StartAttempt{RequestID: req.id, Engine: e.id, Timeout: req.deadline - b.now})
}

// retryElsewhere cancels an attempt where its request may have another.
func (b *Balancer) retryElsewhere(a *attempt) bool { return b.mayRetry(a.request) && b.cancel(a) }

// cancel cancels an attempt once, unless its answer has begun.
func (b *Balancer) cancel(a *attempt) bool {
	if a.cancelled || a.ended || a.streaming || !b.settings.Limits.Cancel {
		return false
	}
	a.cancelled = true
	b.emit(CancelAttempt{RequestID: a.request.id, Attempt: a.index})
	return true
}

// meetsObjective reports whether a retry of usual latency would meet the objective of what was sent then.
func (b *Balancer) meetsObjective(req *request, sentAt time.Duration) bool {
	return milliseconds(b.now-sentAt)+req.usualLatencyMs() < req.latencyObjectiveMs()
}
