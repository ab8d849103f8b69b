package policy

import (
	"math"
	"time"
)

const (
	overQuotaFactor   = 0.5  // share of a bound that requests beyond their tenant's quota may use
	minWorkFactor     = 0.1  // least and most that an estimate over its class's mean scales the
	maxWorkFactor     = 30.0 // expected work by: an outlying one must not count as nothing or fill a bound
	minWeightFactor   = 0.25 // the same for the weight in threads: more work runs longer, but on
	maxWeightFactor   = 2.0  // no more threads, so one request must not fill an engine's bound
	minPriorityWeight = 1e-9 // replaces a priority weight of zero, which has no logarithm
	ranksToDouble     = 4.0  // ranks above the mean from which a request's share of a bound would double
)

// onRequestArrived admits a request, queues it behind others of its key, or rejects it.
func (b *Balancer) onRequestArrived(ev RequestArrived) {
	if b.requests[ev.RequestID] != nil {
		return
	}
	if !ev.ClientRetry {
		b.traffic.arrivals++
	}
	if b.settings.Rules.RetryBudgetWindow > 0 {
		b.retryWindow.addArrival(b.now)
	}
	c := b.classes[ev.Class]
	if c == nil { // whether it is idempotent is unknown: nothing is sent
		b.emit(Reject{RequestID: ev.RequestID, RetryAfter: b.retryAfter(), Reason: ReasonUnknownClass})
		return
	}
	req := newRequest(c, ev)
	b.assess(req, ev)
	b.requests[req.id] = req
	b.popularity.add(req.dataset, popularityWindow)
	b.checkHealth()
	timeLeft := max(0, req.deadline-b.now-b.settings.TickInterval)
	b.emit(SetTimer{After: timeLeft, Token: DeadlineTimer(req.id).Token})
	b.keyQueues.enqueue(req)
	if b.atHead(req) {
		b.admit(req)
	} else {
		b.queued = append(b.queued, req)
	}
}

// assess sets what the request is expected to cost and which share of a bound it may use.
func (b *Balancer) assess(req *request, ev RequestArrived) {
	c := req.class
	if estimateMs := milliseconds(ev.EstimatedWork); estimateMs > 0 {
		relative := c.relativeEstimate(estimateMs)
		factor := min(max(relative, minWorkFactor), maxWorkFactor)
		req.expectedWorkMs = c.workMs * factor
		req.weight = c.Threads * min(max(factor, minWeightFactor), maxWeightFactor)
	}
	rank := math.Log2(max(c.PriorityWeight, minPriorityWeight) / req.expectedWorkMs)
	b.meanRank = ewmaSeeded(b.meanRank, rank, estimateWindow)
	req.valueRank = rank - b.meanRank
	if ev.EstimatedWork > 0 { // without estimates all requests of a class would be shed alike
		req.valueFactor = min(max(1+req.valueRank/ranksToDouble, overQuotaFactor), 2-overQuotaFactor)
	}
	if b.overQuota(ev.Tenant) {
		req.quotaFactor = overQuotaFactor
	}
}

// admit sends the request to an engine that it fits, or rejects it at once.
func (b *Balancer) admit(req *request) {
	if e, reason := b.selectEngine(req); e != nil {
		b.startAttempt(req, e)
	} else {
		b.rejectOrFail(req, reason)
	}
}

// fits is the admission test: backlog and weight within the bound. A request that outweighs the whole
// bound is admitted with probability bound/weight where nothing is in flight.
func (b *Balancer) fits(req *request, l *controlLoop, bound float64) bool {
	if l.backlog == 0 && req.weight > bound {
		return b.rng.Float64() < bound/req.weight
	}
	return l.backlog+req.weight <= bound
}

// limit is the bound that applies to the request, in threads: lower beyond its tenant's quota and, for the
// fleet or an engine under pressure, higher the greater its priority weight over its expected work.
func (b *Balancer) limit(req *request, l *controlLoop) float64 {
	switch {
	case b.now < l.pressuredUntil:
		return l.bound * req.quotaFactor * req.valueFactor
	case l == &b.fleet:
		return l.maxBound * req.quotaFactor * req.valueFactor
	}
	return l.maxBound * req.quotaFactor // without pressure, to shed costly requests would waste capacity
}

// fleetHasCapacity applies the admission test to the fleet: overload may not show at any single engine.
func (b *Balancer) fleetHasCapacity(req *request) bool {
	return b.fits(req, &b.fleet, b.limit(req, &b.fleet))
}

// rejectOrFail is the only place that answers without a result: by a rejection where a retry is safe.
func (b *Balancer) rejectOrFail(req *request, reason RejectReason) {
	if req.answered {
		return
	}
	if mayReject(req) {
		b.emit(Reject{RequestID: req.id, RetryAfter: b.retryAfter(), Reason: reason})
	} else {
		b.emit(Fail{RequestID: req.id})
	}
	b.finish(req)
}

// finish ends a request. Until its attempts have ended it stays in the backlog and in its key's queue.
func (b *Balancer) finish(req *request) {
	req.answered = true
	for _, a := range req.attempts {
		b.cancel(a)
	}
	if req.hasOpenAttempt() {
		return
	}
	delete(b.requests, req.id)
	b.keyQueues.dequeue(req, b.now)
}

// retryAfter spreads the return of rejected clients over the time that they honour.
func (b *Balancer) retryAfter() time.Duration {
	half := b.settings.Limits.MaxRetryAfter / 2
	if !b.settings.Limits.RetryAfter || half <= 0 {
		return 0
	}
	return half + time.Duration(b.rng.Int64N(int64(half)))
}
