package policy

import (
	"math"
	"slices"
	"time"
)

// Terms of the limit that the rules set for a warming engine: with N the requests of mean work
// that the settings allow it, N plus a number of roots of N plus a constant.
const (
	fewRequests    = 30.0 // N below which the terms for few apply
	rootsOfFew     = 3.0
	constantOfFew  = 3.0
	rootsOfMany    = 2.0
	constantOfMany = 2.0
)

// sentWork is the work of a request that was sent to a warming engine.
type sentWork struct {
	at     time.Duration
	workMs float64
}

// overloadCheck checks at run time that this balancer alone does not send an engine in slow start
// more than the engine bears from all balancers. It decides nothing: the budget of slowStart keeps
// each balancer far below that. It sums up what was sent within the overload window.
type overloadCheck struct {
	sent []sentWork
}

// record adds a request and returns how many requests of mean work were sent within the window.
func (c *overloadCheck) record(now, window time.Duration, workMs, meanWorkMs float64) (sent float64) {
	windowStart := now - window
	c.sent = slices.DeleteFunc(c.sent, func(s sentWork) bool { return s.at <= windowStart })
	c.sent = append(c.sent, sentWork{now, workMs})
	for _, s := range c.sent {
		sent += s.workMs / meanWorkMs
	}
	return sent
}

// checkOverload records a request that is sent to the engine, and reports if the limit is exceeded.
// A single request may outweigh the limit, as it has to run somewhere. Nothing is checked while the
// slow start is only assumed.
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

// overloadLimit returns how many requests of mean work a warming engine bears within the overload
// window, from all front ends together. The checker of internal/lab/soak computes the same limit on its
// own, on purpose: a mistake in one of them shows.
func overloadLimit(rules *Rules, capacityShare, cores, meanWorkMs float64) float64 {
	n := rules.OverloadFactor * capacityShare * cores * milliseconds(rules.OverloadWindow) / meanWorkMs
	if n < fewRequests {
		return n + rootsOfFew*math.Sqrt(n) + constantOfFew
	}
	return n + rootsOfMany*math.Sqrt(n) + constantOfMany
}
