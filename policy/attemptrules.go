package policy

import (
	"slices"
	"time"
)

// attemptRules decides whether a request may have an attempt, and on which engines. The decision depends on
// the limits of the deployment, the deadline, the zones and kinds of the class, the possible effects of
// earlier attempts, the retry budget, the ordering key and slow start. The limiters decide whether an engine
// has capacity.
type attemptRules struct {
	limits  *Limits
	budget  retryBudget
	ordered *orderedRequests
	traffic *trafficEstimate
}

// MayHaveRun reports whether the engine may have run an attempt with this result.
func (r Result) MayHaveRun() bool {
	return r != ResultOverloaded && r != ResultConnectFailed && r != ResultNotSent
}

// mayStillRun reports whether an attempt with this result may still run on its engine.
func (r Result) mayStillRun() bool {
	return r == ResultTimedOut || r == ResultConnectionLost || r == ResultCancelled || r == ResultUnknown
}

// mayReject reports whether the client may safely send the request again. The client's retry may reach any
// engine, so an idempotency key suffices only if all engines drop each other's duplicates.
func mayReject(req *request) bool {
	return req.class.Effect == Idempotent ||
		req.class.Effect == IdempotentByKey && req.class.DedupScope == ScopeAll ||
		!req.mayHaveRun()
}

// permitsAttempt reports whether the request may have its first or another attempt. An attempt in flight
// counts as one that may have run. mayStart checks whether attempts in flight must end first.
func (r *attemptRules) permitsAttempt(req *request, now time.Duration) bool {
	attemptsLeft := len(req.attempts) < max(r.limits.MaxAttempts, 1)
	if req.completed || !attemptsLeft {
		return false
	}
	if len(req.attempts) > 0 && !r.budget.permits(now) {
		return false
	}
	c := req.class
	for _, a := range req.attempts {
		expired := c.Effect == IdempotentByKey && now-a.sentAt >= c.DedupWindow
		if a.mayHaveRun() && (c.Effect == NonIdempotent || expired) {
			return false
		}
	}
	return true
}

// mayStart reports whether the request may be sent to the engine now. It checks all rules.
func (r *attemptRules) mayStart(req *request, e *engine, now time.Duration) bool {
	c := req.class
	if e.state != EngineReady || now >= req.deadline || !r.permitsAttempt(req, now) ||
		!allows(c.Zones, e.zone) || !allows(c.Kinds, e.kind) {
		return false
	}
	for _, a := range req.attempts {
		if !a.ended() && !r.limits.Hedging {
			return false
		}
		if a.mayHaveRun() && c.Effect == IdempotentByKey && !sharesDedup(c.DedupScope, a.engine, e) {
			return false
		}
	}
	return r.ordered.atHead(req, now) && e.slowStartPermits(req, r.traffic, now)
}

// sharesDedup reports whether two engines drop duplicates of each other's idempotency keys. An engine
// whose zone or cell is unknown shares its keys with no other engine.
func sharesDedup(scope DedupScope, x, y *engine) bool {
	switch {
	case x == y, scope == ScopeAll:
		return true
	case scope == ScopeZone:
		return x.zone == y.zone && x.zone != ""
	default:
		return x.cellKnown && y.cellKnown && x.cell == y.cell
	}
}

// allows reports whether a placement list is empty or names the value.
func allows(list []string, value string) bool { return len(list) == 0 || slices.Contains(list, value) }
