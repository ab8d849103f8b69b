package policy

import (
	"math"
	"slices"
	"time"
)

// Terms of the limit that the rules set for a warming engine: with N the requests of mean work
// that the settings allow it, N plus a number of roots of N plus a constant.
const (
	fewRequests          = 30.0 // N below which the terms for few apply
	rootsOfFew, fewExtra = 3.0, 3.0
	roots, extra         = 2.0, 2.0
	meanWorkWindow       = 100 // requests over which the mean work is averaged
)

// sentWork is the work of a request sent to a warming engine.
type sentWork struct {
	at     time.Duration
	workMs float64
}

// checkWarmup records a request that is sent to a warming engine, and reports if all that this balancer
// has sent it within the overload window exceeds what the engine bears from all balancers. It decides
// nothing: the budget keeps each balancer far below that.
func (b *Balancer) checkWarmup(req *request, e *engine) {
	b.traffic.meanWorkMs = ewmaSeeded(b.traffic.meanWorkMs, req.expectedWorkMs, meanWorkWindow)
	if b.now >= e.warmupEndsAt || e.restartAssumed {
		e.warmupSent = nil
		return
	}
	windowStart := b.now - b.settings.Rules.OverloadWindow
	e.warmupSent = slices.DeleteFunc(e.warmupSent, func(s sentWork) bool { return s.at <= windowStart })
	e.warmupSent = append(e.warmupSent, sentWork{b.now, req.expectedWorkMs})
	if len(e.warmupSent) < 2 { // one request may outweigh the limit, and has to run somewhere
		return
	}
	sent := 0.0
	for _, s := range e.warmupSent {
		sent += s.workMs / b.traffic.meanWorkMs
	}
	if limit := b.warmupLimit(e); sent > limit {
		b.emit(ReportOverload{Engine: e.id, Sent: sent, Limit: limit})
	}
}

// warmupLimit is how many requests of mean work a warming engine bears within the overload window.
func (b *Balancer) warmupLimit(e *engine) float64 {
	rules := &b.settings.Rules
	n := rules.OverloadFactor * b.warmCapacity(e) * e.cores * milliseconds(rules.OverloadWindow) / b.traffic.meanWorkMs
	if n < fewRequests {
		return n + rootsOfFew*math.Sqrt(n) + fewExtra
	}
	return n + roots*math.Sqrt(n) + extra
}
