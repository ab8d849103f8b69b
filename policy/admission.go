package policy

import (
	"math"
	"time"
)

const (
	overQuotaFactor = 0.5 // share of a limit that requests beyond their tenant's quota may use
	minValueFactor  = 0.5 // smallest share of a limit, for requests of low value
	maxValueFactor  = 1.5 // largest share of a limit, for requests of high value

	// Bounds of the factor by which an estimate scales the expected work and the weight in threads: a request
	// with an extreme estimate must neither count as almost nothing nor fill a limit alone. The bounds for
	// the weight are narrower, since a request with more work runs longer but not on more threads.
	minWorkFactor   = 0.1
	maxWorkFactor   = 30.0
	minWeightFactor = 0.25
	maxWeightFactor = 2.0

	minPriorityWeight = 1e-9 // replaces a priority weight of zero, which has no logarithm
	ranksToDouble     = 4.0  // rank above the mean at which a request's share of a limit would double
	estimateWindow    = 50   // requests over which estimates of work and ranks are averaged
)

// valueRanking ranks requests by the log2 of priority weight divided by expected work, relative to the mean.
type valueRanking struct{ mean float64 }

// rank updates the mean with a request and returns the request's rank relative to it.
func (v *valueRanking) rank(priorityWeight, workMs float64) float64 {
	rank := math.Log2(max(priorityWeight, minPriorityWeight) / workMs)
	v.mean = ewmaSeeded(v.mean, rank, estimateWindow)
	return rank - v.mean
}

// onRequestArrived admits a request, queues it behind earlier requests of its ordering key, or rejects it.
func (b *Balancer) onRequestArrived(ev RequestArrived) {
	if b.requests[ev.RequestID] != nil {
		return
	}
	if !ev.ClientRetry {
		b.traffic.observeArrival()
	}
	b.rules.budget.observeArrival(b.now)
	c := b.classes[ev.Class]
	if c == nil { // not sent, since it is unknown whether the request is idempotent
		b.actions.add(Reject{RequestID: ev.RequestID, RetryAfter: b.retryAfter(), Reason: ReasonUnknownClass})
		return
	}
	req := newRequest(c, ev)
	b.assess(req, ev)
	b.requests[req.id] = req
	b.selector.affinity.observe(req.dataset)
	b.checkHealth()
	timeLeft := max(0, req.deadline-b.now-b.settings.TimerGranularity)
	b.actions.add(SetTimer{After: timeLeft, Token: DeadlineTimer(req.id).Token})
	b.ordered.queues.enqueue(req)
	if b.ordered.atHead(req, b.now) {
		b.admit(req)
	} else {
		b.ordered.wait(req)
	}
}

// assess sets the request's expected work, its weight and the share of a limit that it may use. It must be
// called only once for each request, since it also updates the mean estimate, the mean rank and the
// tenant's quota.
func (b *Balancer) assess(req *request, ev RequestArrived) {
	c := req.class
	if estimateMs := milliseconds(ev.EstimatedWork); estimateMs > 0 {
		factor := min(max(c.observeEstimate(estimateMs), minWorkFactor), maxWorkFactor)
		req.expectedWorkMs = c.workMs * factor
		req.weight = c.Threads * min(max(factor, minWeightFactor), maxWeightFactor)
	}
	req.valueRank = b.valueRanking.rank(c.PriorityWeight, req.expectedWorkMs)
	// Without estimates all requests of a class have the same rank and would all be shed together.
	if ev.EstimatedWork > 0 {
		req.valueFactor = min(max(1+req.valueRank/ranksToDouble, minValueFactor), maxValueFactor)
	}
	if exceeded := b.quotas.charge(ev.Tenant, b.traffic.share(), b.now); exceeded {
		req.quotaFactor = overQuotaFactor
	}
}

// admit sends the request to an engine with capacity for it, or rejects it at once.
func (b *Balancer) admit(req *request) {
	e, reason := b.selector.choose(req, b.engines.all, b.now)
	if e == nil {
		b.rejectOrFail(req, reason)
		return
	}
	if !b.attempts.start(req, e, b.now) { // choose has applied the same rules; start checks them again
		b.rejectOrFail(req, ReasonAttemptsExhausted)
	}
}

// rejectOrFail responds to a request that has no result: with a Reject if a retry by the client is safe, and
// with a Fail otherwise. Only requests of an unknown class are rejected elsewhere, in onRequestArrived.
func (b *Balancer) rejectOrFail(req *request, reason RejectReason) {
	if req.completed {
		return
	}
	if mayReject(req) {
		b.actions.add(Reject{RequestID: req.id, RetryAfter: b.retryAfter(), Reason: reason})
	} else {
		b.actions.add(Fail{RequestID: req.id})
	}
	b.complete(req)
}

// complete ends a request that has its final response or whose client has disconnected. Until its attempts
// have ended, the request stays in the backlog and in the queue of its ordering key.
func (b *Balancer) complete(req *request) {
	req.completed = true
	for _, a := range req.attempts {
		b.attempts.cancel(a)
	}
	if req.hasAttemptInFlight() {
		return
	}
	delete(b.requests, req.id)
	b.ordered.queues.dequeue(req, b.now)
}

// retryAfter returns a random time between half and all of MaxRetryAfter, so that rejected clients do not
// return together.
func (b *Balancer) retryAfter() time.Duration {
	half := b.settings.Limits.MaxRetryAfter / 2
	if !b.settings.Limits.RetryAfter || half <= 0 {
		return 0
	}
	return half + time.Duration(b.rng.Int64N(int64(half)))
}
