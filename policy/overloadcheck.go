package policy

import (
	"math"
	"slices"
	"time"
)

// The limit of a warming engine is n + rootFactor*sqrt(n) + constant, where n is the number of requests of
// mean work that the settings allow within the overload window. fewRootFactor and fewConstant apply if n is
// below fewRequests, manyRootFactor and manyConstant otherwise.
const (
	fewRequests    = 30.0
	fewRootFactor  = 3.0
	fewConstant    = 3.0
	manyRootFactor = 2.0
	manyConstant   = 2.0
)

// sentWork is the work of a request that was sent to a warming engine.
type sentWork struct {
	at     time.Duration
	workMs float64
}

// overloadCheck checks at run time that this front end alone does not send an engine in slow start more
// work than the engine can handle from all front ends together. It does not affect decisions: the budget
// of slowStart keeps each front end far below that limit.
type overloadCheck struct {
	sent []sentWork // within the overload window
}

// record adds a request and returns the work sent within the window, as a number of requests of mean work.
func (c *overloadCheck) record(now, window time.Duration, workMs, meanWorkMs float64) (sent float64) {
	windowStart := now - window
	c.sent = slices.DeleteFunc(c.sent, func(s sentWork) bool { return s.at <= windowStart })
	c.sent = append(c.sent, sentWork{at: now, workMs: workMs})
	for _, s := range c.sent {
		sent += s.workMs / meanWorkMs
	}
	return sent
}

// checkOverload records a request that is sent to the engine, and reports whether the limit is exceeded.
// A single request may exceed the limit, since it has to run somewhere. If the engine is not warming up, or
// its restart is only assumed, nothing is recorded or checked.
func (e *engine) checkOverload(now time.Duration, workMs, meanWorkMs float64) (report ReportOverload, exceeded bool) {
	if !e.slowStart.active(now) || e.slowStart.restartAssumed {
		e.overload.sent = nil
		return ReportOverload{}, false
	}
	rules := e.slowStart.rules.Rules
	sent := e.overload.record(now, rules.OverloadWindow, workMs, meanWorkMs)
	limit := overloadLimit(rules, e.slowStart.capacityShare(now), e.cores, meanWorkMs)
	report = ReportOverload{Engine: e.id, Sent: sent, Limit: limit}
	return report, len(e.overload.sent) >= 2 && sent > limit
}

// overloadLimit returns how many requests of mean work a warming engine can handle within the overload
// window, from all front ends together. The checker of internal/lab/soak deliberately computes the same
// limit independently, so that a mistake in either computation shows.
func overloadLimit(rules *Rules, capacityShare, cores, meanWorkMs float64) float64 {
	n := rules.OverloadFactor * capacityShare * cores * milliseconds(rules.OverloadWindow) / meanWorkMs
	if n < fewRequests {
		return n + fewRootFactor*math.Sqrt(n) + fewConstant
	}
	return n + manyRootFactor*math.Sqrt(n) + manyConstant
}
