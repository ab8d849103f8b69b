package policy

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	minRestartTime        = 2 * time.Second // shortest time from a process's exit until it serves again
	slowStartBudgetMargin = 0.7             // share of a warming engine's budget that is used
	slowStartBurst        = 0.5             // share of a window's budget that may be spent at once
	slowStartCostFactor   = 1.3             // multiple of the expected work that is charged: estimates err
	minDivisor            = 1e-9            // avoids a division by zero at full initial capacity
)

// slowStartRules are the rules that the slow starts of all engines share.
type slowStartRules struct {
	*Rules
	// firstEventAt is when this balancer handled its first event. What an earlier process of the same
	// front end sent to engines before that is unknown.
	firstEventAt time.Duration
}

// slowStart limits what this front end sends to one engine while the engine warms up after a start. The limit
// is a budget of work per overload window: this front end's share of the load that the engine can handle in
// that time. The cost of a request is its work divided by the budget, so the unit of the cost is one overload
// window. The endpoint list reports restarts late, so a connection fault is treated as a restart. If a
// connection broke, a response or progress report may still show that the engine did not restart.
type slowStart struct {
	rules            *slowStartRules
	reported         reportedStart
	startedAt        time.Duration // latest reported start, by this balancer's clock; math.MinInt64: unknown
	noticedAt        time.Duration // when this balancer learned of, or assumed, the start
	endsAt           time.Duration
	budgetSpentUntil time.Duration // this front end's share of the budget is spent until then
	firstSlot        float64       // wait of the first large request, as a random share (0 to 1) of its cost

	restartAssumed         bool          // the only evidence of a restart is a lost connection
	endsAtBeforeAssumption time.Duration // endsAt before the restart was assumed
}

// newSlowStart returns the state of an engine without a known start.
func newSlowStart(rules *slowStartRules) slowStart {
	return slowStart{rules: rules, reported: newReportedStart(), startedAt: math.MinInt64}
}

// active reports whether the engine is warming up.
func (s *slowStart) active(now time.Duration) bool { return now < s.endsAt }

// begin treats the engine as warming up until the given instant. Unless the engine is already warming up,
// begin draws the slot for large requests.
func (s *slowStart) begin(now, until time.Duration, rng *rand.Rand) {
	if !s.active(now) {
		s.budgetSpentUntil = max(s.budgetSpentUntil, now)
		s.noticedAt = now
		s.firstSlot = rng.Float64()
	}
	s.endsAt = until
}

// onReportedStart begins the slow start of an engine whose start the endpoint list has just reported.
func (s *slowStart) onReportedStart(now, start time.Duration, rng *rand.Rand) {
	s.reported.set(start)
	s.startedAt = s.rules.estimateStart(now, start)
	s.restartAssumed = false
	s.endsAt = 0 // so that begin starts a new slow start, with a new slot for large requests
	s.begin(now, s.startedAt+s.rules.WarmupTime, rng)
}

// recentlyStarted reports whether the engine's latest reported start is less than the warm-up time ago.
func (s *slowStart) recentlyStarted(now time.Duration) bool {
	return now < s.startedAt+s.rules.WarmupTime
}

// assumeRestart begins a slow start after a connection fault. If the connection could not be made, the
// process was down. If it broke, the restart is only assumed: withdrawAssumption ends the slow start if the
// engine sends a response or progress report sooner than a restarted process could.
func (s *slowStart) assumeRestart(now time.Duration, result Result, rng *rand.Rand) {
	if result == ResultConnectFailed {
		s.restartAssumed = false
	} else if !s.restartAssumed {
		s.restartAssumed = true
		s.endsAtBeforeAssumption = s.endsAt
	}
	s.begin(now, max(s.endsAt, now+s.rules.WarmupTime), rng)
}

// withdrawAssumption handles a response or progress report of an attempt while a restart is only assumed. If
// the attempt was sent after the connection fault and less than minRestartTime has passed since the fault,
// only the connection was lost. The slow start then ends when it would have ended without the assumption.
func (s *slowStart) withdrawAssumption(now, sentAt, connectionFaultAt time.Duration) {
	if s.restartAssumed && sentAt > connectionFaultAt && now < connectionFaultAt+minRestartTime {
		s.restartAssumed = false
		s.endsAt = s.endsAtBeforeAssumption
	}
}

// capacityShare returns the share of the engine's full capacity that concurrency limits assume. It grows
// linearly over the slow start; cost assumes slower growth.
func (s *slowStart) capacityShare(now time.Duration) float64 {
	left := float64(s.endsAt-now) / float64(max(s.rules.WarmupTime, 1))
	return 1 - (1-s.rules.WarmupCapacity)*min(max(left, 0), 1)
}

// permits reports whether a request of this cost is within this front end's share of the budget. A request
// that costs more than a burst is permitted once every `cost` windows. The first such request waits for
// a slot that is drawn at random, so that front ends do not send such requests at the same time.
func (s *slowStart) permits(now time.Duration, cost float64) bool {
	window := s.rules.OverloadWindow
	switch {
	case !s.active(now) || window <= 0:
		return true
	case now < s.rules.firstEventAt+window: // an earlier process may have spent this window's budget
		return false
	}
	permittedFrom := s.budgetSpentUntil
	if cost > slowStartBurst {
		permittedFrom = max(permittedFrom, s.noticedAt+time.Duration(s.firstSlot*cost*float64(window)))
	}
	return permittedFrom <= now+time.Duration(max(0, slowStartBurst-cost)*float64(window))
}

// charge deducts from the budget the cost of a request that was sent to the engine.
func (s *slowStart) charge(now time.Duration, cost float64) {
	spent := time.Duration(cost * float64(s.rules.OverloadWindow))
	s.budgetSpentUntil = max(s.budgetSpentUntil, now) + spent
}

// cost returns the cost of a request with the given expected work, in overload windows: the work divided by
// this front end's share of the budget of one window. The actual growth of the engine's capacity is unknown.
// To be cautious, cost assumes quadratic growth, which lags behind the linear growth of capacityShare.
func (s *slowStart) cost(now time.Duration, workMs, cores, trafficShare float64) float64 {
	rules := s.rules
	grown := s.capacityShare(now) - rules.WarmupCapacity
	assumedShare := rules.WarmupCapacity + grown*grown/max(1-rules.WarmupCapacity, minDivisor)
	windowMs := milliseconds(rules.OverloadWindow)
	budgetMs := slowStartBudgetMargin * rules.OverloadFactor * assumedShare * cores * windowMs * trafficShare
	return slowStartCostFactor * workMs / budgetMs
}

// slowStartPermits reports whether slow start permits the request. An engine that is warming up must have the
// budget for it; any other engine permits every request. slowStartPermits runs for every engine and request,
// so it computes the share of the traffic only for an engine that is warming up.
func (e *engine) slowStartPermits(req *request, traffic *trafficEstimate, now time.Duration) bool {
	return !e.slowStart.active(now) ||
		e.slowStart.permits(now, e.slowStart.cost(now, req.expectedWorkMs, e.cores, traffic.share()))
}

// chargeSlowStart charges a request that was sent to the engine to the budget if the engine is warming up.
func (e *engine) chargeSlowStart(req *request, traffic *trafficEstimate, now time.Duration) {
	if e.slowStart.active(now) {
		e.slowStart.charge(now, e.slowStart.cost(now, req.expectedWorkMs, e.cores, traffic.share()))
	}
}
