package policy

import (
	"math/rand/v2"
	"time"
)

const (
	closedLoopPole        = 0.3              // share of a deviation that remains after one control step
	alphaSmoothing        = 0.3              // weight of the newest period in alpha
	minAlpha              = 1e-6             // keeps the step of the limit finite
	minLimit              = 0.5              // threads; half of a one-thread request without an estimate
	pressureLatency       = 0.8              // mean relative latency above which the limit applies
	pressurePeriods       = 2                // control periods for which it applies after such a latency
	overloadPeriods       = 4                // control periods for which it applies after a rejection
	kneeSlowdown          = 1.6              // knee of the latency curve; maxLimit shrinks above it
	maxSlowdown           = 4 * kneeSlowdown // a greater slowdown of one response counts as this
	slowdownWindow        = 20               // responses over which the slowdown is averaged
	readmissionLimitShare = 0.25             // share of its initial limit at which a readmitted engine starts
)

// limiter is an adaptive concurrency limit, in threads: one for each engine, and one for the fleet. In each
// control period, a control loop adjusts the limit so that the mean latency meets its objective. The limit is
// under pressure for some periods after a period of high latency, or after a full engine rejected a request.
// It applies only under pressure; at other times maxLimit applies. engine.rescale and fleet.rescale set
// initialLimit and maxLimit; fleet.reserve and fleet.release update backlog.
type limiter struct {
	initialLimit   float64       // threads
	maxLimit       float64       // threads; applies without pressure, and bounds limit at each control step
	limit          float64       // threads; applies under pressure
	alpha          float64       // estimated relative latency that each thread of the limit adds
	backlog        float64       // threads of the requests in flight
	slowdown       float64       // mean ratio of a latency to the quick latency of its class
	latencySum     float64       // sum of the latencies in this period, each relative to its objective
	samples        int           // number of latencies in latencySum
	pressuredUntil time.Duration // the limit is under pressure until then
}

// observe records one latency, relative to its objective and to the quick latency of its class.
func (l *limiter) observe(relativeLatency, slowdown float64) {
	l.latencySum += relativeLatency
	l.samples++
	l.slowdown = ewma(l.slowdown, min(slowdown, maxSlowdown), slowdownWindow)
}

// endPeriod runs one step of the control loop. A period without samples changes nothing.
func (l *limiter) endPeriod(now time.Duration) {
	if l.samples == 0 {
		return
	}
	meanLatency := l.latencySum / float64(l.samples)
	l.latencySum = 0
	l.samples = 0
	l.limit, l.alpha = controlStep(l.limit, l.alpha, meanLatency)
	l.limit = min(max(l.limit, minLimit), l.maxLimit)
	if meanLatency > pressureLatency {
		l.pressuredUntil = now + pressurePeriods*controlPeriod
	}
}

// controlStep returns limit and alpha after one period, given the mean latency relative to the objective. It
// models the relative latency as alpha times the limit, and aims at a relative latency of 1. By this model
// each step reduces the deviation to closedLoopPole times its size.
func controlStep(limit, alpha, meanLatency float64) (newLimit, newAlpha float64) {
	deviation := 1 - meanLatency
	newAlpha = max(alphaSmoothing*(meanLatency/limit)+(1-alphaSmoothing)*alpha, minAlpha)
	return limit + (1-closedLoopPole)/newAlpha*deviation, newAlpha
}

// reset restarts the control loop at the initial limit.
func (l *limiter) reset() {
	l.limit = l.initialLimit
	l.alpha = 1 / l.initialLimit
	l.slowdown = 1
	l.latencySum = 0
	l.samples = 0
}

// readmit gives a readmitted engine a small limit, which the control loop raises.
func (l *limiter) readmit() { l.limit = max(minLimit, l.initialLimit*readmissionLimitShare) }

// onOverloaded applies the limit for some periods after the engine rejected a request.
func (l *limiter) onOverloaded(now time.Duration) {
	l.pressuredUntil = now + overloadPeriods*controlPeriod
}

// underPressure reports whether limit applies; otherwise maxLimit does.
func (l *limiter) underPressure(now time.Duration) bool { return now < l.pressuredUntil }

// admits is the admission test: the backlog plus the weight must be within the limit. A request whose weight
// alone exceeds the limit would never pass, so it is admitted with probability limit/weight while nothing is
// in flight.
func (l *limiter) admits(weight, limit float64, rng *rand.Rand) bool {
	if l.backlog == 0 && weight > limit {
		return rng.Float64() < limit/weight
	}
	return l.backlog+weight <= limit
}
