package policy

import "time"

const (
	minRestartTime     = 2 * time.Second // no process ends and serves again sooner
	warmupBudgetMargin = 0.7             // share of a warming engine's budget that is used
	warmupBurst        = 0.5             // share of a window's budget that may be spent at once
	warmupCostFactor   = 1.3             // expected work is charged this many times: estimates err
	minDivisor         = 1e-9            // avoids a division by zero at full initial capacity
)

// startWarmup treats an engine as warming up. Unless it already is, its slot for large requests is drawn.
func (b *Balancer) startWarmup(e *engine, until time.Duration) {
	if b.now >= e.warmupEndsAt {
		e.budgetSpentUntil, e.warmupSeenAt = max(e.budgetSpentUntil, b.now), b.now
		e.slotDraw = b.rng.Float64()
	}
	e.warmupEndsAt = until
}

// withinWarmupBudget reports whether a request is within this balancer's share of a warming engine's budget.
// A request above a burst is sent once in as many windows as it costs, from a random start.
func (b *Balancer) withinWarmupBudget(req *request, e *engine) bool {
	window := b.settings.Rules.OverloadWindow
	switch {
	case b.now >= e.warmupEndsAt || window <= 0:
		return true
	case b.now < b.startedAt+window: // what was sent before this process started is unknown
		return false
	}
	windows := b.warmupCost(req, e)
	from := e.budgetSpentUntil
	if windows > warmupBurst {
		from = max(from, e.warmupSeenAt+time.Duration(e.slotDraw*windows*float64(window)))
	}
	return from <= b.now+time.Duration(max(0, warmupBurst-windows)*float64(window))
}

// spendWarmupBudget charges a sent request to the budget of a warming engine.
func (b *Balancer) spendWarmupBudget(req *request, e *engine) {
	if b.now < e.warmupEndsAt {
		spent := time.Duration(b.warmupCost(req, e) * float64(b.settings.Rules.OverloadWindow))
		e.budgetSpentUntil = max(e.budgetSpentUntil, b.now) + spent
	}
}

// warmupCost is the request's expected work in windows of the engine's budget.
func (b *Balancer) warmupCost(req *request, e *engine) float64 {
	return warmupCostFactor * req.expectedWorkMs / b.warmupBudget(e)
}

// warmupBudget is the work in ms that this balancer may send a warming engine in a window. How its
// capacity grows is unknown: it is taken to come late, as a square.
func (b *Balancer) warmupBudget(e *engine) float64 {
	rules, grown := b.settings.Rules, b.warmCapacity(e)-b.settings.Rules.WarmupCapacity
	capacity := rules.WarmupCapacity + grown*grown/max(1-rules.WarmupCapacity, minDivisor)
	windowMs := milliseconds(rules.OverloadWindow)
	return warmupBudgetMargin * rules.OverloadFactor * capacity * e.cores * windowMs * b.trafficShare()
}

// warmCapacity is the share of its capacity that an engine is taken to have, growing over its warm-up.
func (b *Balancer) warmCapacity(e *engine) float64 {
	left := float64(e.warmupEndsAt-b.now) / float64(max(b.settings.Rules.WarmupTime, 1))
	return 1 - (1-b.settings.Rules.WarmupCapacity)*min(max(left, 0), 1)
}

// assumeRestart treats an engine as warming up after a connection fault: the list reports restarts late.
func (b *Balancer) assumeRestart(e *engine, result Result) {
	if result == ResultConnectFailed {
		e.restartAssumed = false
	} else if !e.restartAssumed {
		e.restartAssumed, e.previousWarmupEndsAt = true, e.warmupEndsAt
	}
	b.startWarmup(e, max(e.warmupEndsAt, b.now+b.settings.Rules.WarmupTime))
}

// withdrawRestart ends the warm-up of an engine that answers an attempt sent after its connection broke
// and sooner than a process starts: only the connection was lost.
func (b *Balancer) withdrawRestart(a *attempt) {
	e := a.engine
	if e.restartAssumed && a.sentAt > e.connectionLostAt && b.now < e.connectionLostAt+minRestartTime {
		e.restartAssumed, e.warmupEndsAt = false, e.previousWarmupEndsAt
	}
}
