package policy

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	initialThreadsPerCore = 2.0  // initial limit
	swapLimitFactor       = 0.75 // of that, where an engine short of memory slows down altogether
	queueLimitFactor      = 1.5  // of that, where requests short of memory queue at the engine
	maxLimitFactor        = 1.2  // maximum of a limit, in initial limits
	backlogSpread         = 2.0  // headroom, in standard deviations of this front end's own backlog
	negligibleBacklog     = 1e-9 // threads; below any request's weight: a smaller backlog is a rounding error

	// assumedFreeShare is the share of the fleet's capacity that counts as free until engines report their
	// load. At this share the headroom has its nominal size.
	assumedFreeShare = 0.3
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

// fleet limits what this front end has in flight at all engines together. The fleet may be overloaded
// while no single engine seems to be.
type fleet struct {
	target    concurrencyTarget
	limiter   limiter
	loadLevel float64 // mean reported load, relative to target.threadsPerCore
}

// rescale sets the limits from those of the engines that take requests, with headroom for the
// random variation of few requests in flight.
func (f *fleet) rescale(engines []*engine, now time.Duration) {
	limiter := &f.limiter
	empty := limiter.initialLimit == 0
	limiter.initialLimit = 0
	for _, e := range engines {
		if e.available() {
			limiter.initialLimit += e.limiter.initialLimit * e.slowStart.capacityShare(now)
		}
	}
	if empty { // at the start, and again after a time in which no engine was available
		limiter.limit = limiter.initialLimit
		limiter.alpha = 1 / max(limiter.initialLimit, minLimit)
		limiter.slowdown = 1
		f.loadLevel = 1 - assumedFreeShare
	}
	headroom := f.target.maxThreads + backlogSpread*math.Sqrt(limiter.initialLimit*f.target.maxThreads)
	// The factor is 1 without reports. It falls with the reported load, down to 0 at full load, and exceeds 1
	// while the engines report little load.
	headroom *= max((1-f.loadLevel)/assumedFreeShare, 0)
	// How far the fleet is past the knee of the latency curve or past full load: 1 while it is not.
	pastKnee := max(limiter.slowdown/kneeSlowdown, f.loadLevel, 1)
	limiter.maxLimit = (maxLimitFactor*limiter.initialLimit + headroom/pastKnee) / pastKnee
}

// limitFor returns the limit that applies to the request, in threads. It is lower beyond its tenant's quota
// and, unlike the limit of an engine, follows the request's value at all times.
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

// reserve appends a new attempt to its request and counts it in the backlogs of its engine and the fleet.
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
