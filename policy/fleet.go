package policy

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	initialThreadsPerCore = 2.0  // initial limit; from the design
	swapLimitFactor       = 0.75 // of that, where an engine short of memory slows down altogether
	queueLimitFactor      = 1.5  // of that, where requests short of memory queue at the engine
	maxLimitFactor        = 1.2  // maximum of a limit, in initial limits
	backlogSpread         = 2.0  // standard deviations of the own backlog that the fleet has headroom for
	idleLevel             = 0.3  // free share of the fleet's load at which that headroom counts once
	negligibleBacklog     = 1e-9 // threads; less than any weight: what is left after roundings
)

// concurrencyTarget is what an engine should have in flight at most, from the settings alone.
type concurrencyTarget struct {
	threadsPerCore float64
	maxThreads     float64 // of one request, of the class with the most
}

func newConcurrencyTarget(s *Settings) concurrencyTarget {
	target := concurrencyTarget{threadsPerCore: initialThreadsPerCore}
	switch s.Shortage {
	case ShortageSwap:
		target.threadsPerCore *= swapLimitFactor
	case ShortageQueue: // the engine's own queue holds an excess, ordered by priority
		target.threadsPerCore *= queueLimitFactor
	case ShortageTrim:
	}
	for _, class := range s.Classes {
		target.maxThreads = max(target.maxThreads, newClass(class).Threads)
	}
	return target
}

// fleet limits what this front end has in flight at all engines together: overload of the
// fleet may not show at any single engine.
type fleet struct {
	target    concurrencyTarget
	limiter   limiter
	loadLevel float64 // mean reported load; one where engines have all that they should hold
}

// rescale sets the limits from those of the engines that take requests, with headroom for the
// random variation of few requests in flight.
func (f *fleet) rescale(engines []*engine, now time.Duration) {
	limiter := &f.limiter
	first := limiter.initialLimit == 0
	limiter.initialLimit = 0
	for _, e := range engines {
		if e.available() {
			limiter.initialLimit += e.limiter.initialLimit * e.slowStart.capacity(now)
		}
	}
	if first {
		limiter.limit = limiter.initialLimit
		limiter.alpha = 1 / max(limiter.initialLimit, minLimit)
		limiter.slowdown = 1
		f.loadLevel = 1 - idleLevel
	}
	headroom := f.target.maxThreads + backlogSpread*math.Sqrt(limiter.initialLimit*f.target.maxThreads)
	headroom *= max((1-f.loadLevel)/idleLevel, 0) // what others leave free; a factor of one without reports
	pastKnee := max(limiter.slowdown/kneeSlowdown, f.loadLevel, 1)
	limiter.maxLimit = (maxLimitFactor*limiter.initialLimit + headroom/pastKnee) / pastKnee
}

// limitFor returns the limit that applies to the request, in threads: lower beyond its tenant's
// quota, and higher the greater its priority weight over its expected work.
func (f *fleet) limitFor(req *request, now time.Duration) float64 {
	if f.limiter.underPressure(now) {
		return f.limiter.limit * req.quotaFactor * req.valueFactor
	}
	return f.limiter.maxLimit * req.quotaFactor * req.valueFactor
}

// admits applies the admission test to the fleet.
func (f *fleet) admits(req *request, now time.Duration, rng *rand.Rand) bool {
	return f.limiter.admits(req.weight, f.limitFor(req, now), rng)
}

// reserve counts a new attempt as in flight at its engine and in the fleet.
func (f *fleet) reserve(a *attempt) {
	a.request.attempts = append(a.request.attempts, a)
	a.engine.inFlight = append(a.engine.inFlight, a)
	a.engine.limiter.backlog += a.request.weight
	f.limiter.backlog += a.request.weight
}

// release removes an attempt that has ended from those in flight.
func (f *fleet) release(a *attempt) {
	e := a.engine
	e.inFlight = slices.DeleteFunc(e.inFlight, func(other *attempt) bool { return other == a })
	e.limiter.backlog -= a.request.weight
	if len(e.inFlight) == 0 {
		e.limiter.backlog = 0
	}
	f.limiter.backlog -= a.request.weight
	if f.limiter.backlog < negligibleBacklog {
		f.limiter.backlog = 0
	}
}
