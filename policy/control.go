package policy

import "math"

const (
	closedLoopPole        = 0.3              // c of the bound's update formula; from the design
	alphaSmoothing        = 0.3              // lambda: weight of the newest period in alpha; from the design
	minAlpha              = 1e-6             // keeps the step of the bound finite
	minBound              = 0.5              // threads; under the weight of one request
	initialThreadsPerCore = 2.0              // bound at the start; from the design
	swapBoundFactor       = 0.75             // of that, where an engine short of memory slows down as a whole
	queueBoundFactor      = 1.5              // of that, where requests short of memory queue at the engine
	maxBoundFactor        = 1.2              // cap of a bound, in initial bounds; the cap always applies
	pressureLatency       = 0.8              // mean latency over the objective from which a bound applies
	pressurePeriods       = 2                // control periods for which it applies from then on
	kneeSlowdown          = 1.6              // slowdown, past the curve's knee, where the cap shrinks
	maxSlowdown           = 4 * kneeSlowdown // of one answer at most
	slowdownWindow        = 20               // answers that a slowdown is averaged over
	faultDecayPeriods     = 40               // control periods in which a fault rate fades without answers
	backlogSpread         = 2.0              // standard deviations of own backlog that the fleet has room for
	idleLevel             = 0.3              // free share of the fleet's load at which that room counts once
)

// threadsPerCore returns the load per core that an engine should hold at most.
func threadsPerCore(shortage MemoryShortage) float64 {
	threads := initialThreadsPerCore
	switch shortage {
	case ShortageSwap:
		threads *= swapBoundFactor
	case ShortageQueue: // the engine's own queue holds an excess, ordered by priority
		threads *= queueBoundFactor
	}
	return threads
}

// adjust runs the loop for one control period. A period without samples changes nothing.
func (b *Balancer) adjust(l *controlLoop) {
	if l.samples == 0 {
		return
	}
	meanLatency := l.latencySum / float64(l.samples)
	l.latencySum, l.samples = 0, 0
	l.bound, l.alpha = controlStep(l.bound, l.alpha, meanLatency)
	l.bound = min(max(l.bound, minBound), l.maxBound)
	if meanLatency > pressureLatency {
		l.pressuredUntil = b.now + pressurePeriods*controlPeriod
	}
}

// controlStep returns bound and alpha after one period, for a mean latency relative to the objective.
func controlStep(bound, alpha, meanLatency float64) (newBound, newAlpha float64) {
	deviation := 1 - meanLatency
	newAlpha = max(alphaSmoothing*(meanLatency/bound)+(1-alphaSmoothing)*alpha, minAlpha)
	return bound + (1-closedLoopPole)/newAlpha*deviation, newAlpha
}

// resetEngine gives an engine the initial values of its control loop.
func (b *Balancer) resetEngine(e *engine, kind string) {
	e.cores = max(b.kinds[kind].Cores, 1) // an unknown kind counts as the smallest
	b.scaleEngine(e)
	e.bound, e.alpha, e.slowdown, e.latencySum, e.samples = e.initialBound, 1/e.initialBound, 1, 0, 0
	e.ejected, e.ejectedForFaults, e.faultRate = false, false, 0
}

// scaleEngine sets an engine's initial bound and cap for this balancer's share of the traffic.
func (b *Balancer) scaleEngine(e *engine) {
	share := b.trafficShare()
	e.faultRate = ewma(e.faultRate, 0, faultDecayPeriods)
	e.initialBound = b.threadsPerCore * e.cores * share
	limit := maxBoundFactor*e.initialBound + b.maxThreads*(1-share)
	e.maxBound = limit * min(1, kneeSlowdown/max(e.slowdown, 1)) * b.warmCapacity(e)
}

// scaleFleet does the same for the fleet, with room for the random variation of few requests in flight.
func (b *Balancer) scaleFleet() {
	fleet, first := &b.fleet, b.fleet.initialBound == 0
	fleet.initialBound = 0
	for _, e := range b.engines {
		if e.state == EngineReady && !e.ejected {
			fleet.initialBound += e.initialBound * b.warmCapacity(e)
		}
	}
	if first {
		fleet.bound, fleet.alpha = fleet.initialBound, 1/max(fleet.initialBound, minBound)
		fleet.slowdown, fleet.loadLevel = 1, 1-idleLevel
	}
	room := b.maxThreads + backlogSpread*math.Sqrt(fleet.initialBound*b.maxThreads)
	room *= max((1-fleet.loadLevel)/idleLevel, 0) // what others leave free; a factor of one without reports
	pastKnee := max(fleet.slowdown/kneeSlowdown, fleet.loadLevel, 1)
	fleet.maxBound = (maxBoundFactor*fleet.initialBound + room/pastKnee) / pastKnee
}

// latencyObjectiveMs is the class's objective, stretched by the expected work up to the class's deadline.
func (r *request) latencyObjectiveMs() float64 {
	c := r.class
	stretchMs := c.ObjectiveStretch * r.expectedWorkMs / c.Threads
	return min(milliseconds(c.LatencyObjective)+stretchMs, milliseconds(c.Deadline))
}
