package policy

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	initialThreadsPerCore = 2.0  // initial limit, before the factor for memory shortage
	swapLimitFactor       = 0.75 // factor if an engine short of memory slows down for all requests
	queueLimitFactor      = 1.5  // factor if requests short of memory queue at the engine
	maxLimitFactor        = 1.2  // maximum of a limit, as a multiple of the initial limit
	backlogSpread         = 2.0  // headroom, in standard deviations of this front end's own backlog
	negligibleBacklog     = 1e-9 // threads, below any request's weight; a smaller backlog is a rounding error

	// assumedFreeShare is the share of the fleet's capacity that is assumed to be free until engines report
	// their load. At this share the headroom has its nominal size.
	assumedFreeShare = 0.3
)

// concurrencyTarget is the most that an engine should have in flight, as derived from the settings alone.
type concurrencyTarget struct {
	threadsPerCore float64
	maxThreads     float64 // largest number of threads of one request, over all classes
}

func newConcurrencyTarget(s *Settings) concurrencyTarget {
	target := concurrencyTarget{threadsPerCore: initialThreadsPerCore}
	switch s.Shortage {
	case ShortageSwap:
		target.threadsPerCore *= swapLimitFactor
	case ShortageQueue: // the engine queues excess requests, ordered by priority
		target.threadsPerCore *= queueLimitFactor
	case ShortageTrim:
	}
	for _, class := range s.Classes {
		target.maxThreads = max(target.maxThreads, newClass(class).Threads)
	}
	return target
}

// fleet limits what this front end has in flight at all engines together. The fleet may be overloaded even
// if no single engine appears to be.
type fleet struct {
	target    concurrencyTarget
	limiter   limiter
	loadLevel float64 // mean reported load, relative to target.threadsPerCore
}

// rescale sets the initial and maximum limit from the limits of the available engines, with headroom for the
// random variation of a small number of requests in flight.
func (f *fleet) rescale(engines []*engine, now time.Duration) {
	limiter := &f.limiter
	empty := limiter.initialLimit == 0
	limiter.initialLimit = 0
	for _, e := range engines {
		if e.available() {
			limiter.initialLimit += e.limiter.initialLimit * e.slowStart.capacityShare(now)
		}
	}
	if empty { // first call, or no engine was available at the previous call
		limiter.limit = limiter.initialLimit
		limiter.alpha = 1 / max(limiter.initialLimit, minLimit)
		limiter.slowdown = 1
		f.loadLevel = 1 - assumedFreeShare
	}
	headroom := f.target.maxThreads + backlogSpread*math.Sqrt(limiter.initialLimit*f.target.maxThreads)
	// This factor is 1 without load reports. It falls as the reported load rises, down to 0 at full load, and
	// exceeds 1 while the engines report little load.
	headroom *= max((1-f.loadLevel)/assumedFreeShare, 0)
	// pastKnee is how far the fleet is past the knee of the latency curve or past full load. It is 1 if the
	// fleet is not past either of them.
	pastKnee := max(limiter.slowdown/kneeSlowdown, f.loadLevel, 1)
	limiter.maxLimit = (maxLimitFactor*limiter.initialLimit + headroom/pastKnee) / pastKnee
}

// limitFor returns the limit that applies to the request, in threads. It is lower for a request beyond its
// tenant's quota and, unlike the limit of an engine, always depends on the request's value.
func (f *fleet) limitFor(req *request, now time.Duration) float64 {
	if f.limiter.underPressure(now) {
		return f.limiter.limit * req.quotaFactor * req.valueFactor
	}
	return f.limiter.maxLimit * req.quotaFactor * req.valueFactor
}

// admits reports whether the request passes the admission test of the fleet's limiter.
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

// release removes an attempt that has ended from the attempts in flight and from both backlogs.
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
