package policy

import (
	"slices"
	"time"
)

// engine is an engine that the endpoint list has named, with the state that each concern keeps for it.
type engine struct {
	id        string
	zone      string
	kind      string
	cell      int64
	cellKnown bool
	idHash    uint64
	cores     float64
	state     EngineState
	inFlight  []*attempt

	limiter       limiter
	slowStart     slowStart
	overload      overloadCheck
	outlier       outlierState
	lostResponses lostResponses
	load          reportedLoad
	bulkLoads     bulkLoads
}

func newEngine(id string, rules *slowStartRules) *engine {
	return &engine{
		id:            id,
		idHash:        hashID(id),
		slowStart:     newSlowStart(rules),
		lostResponses: newLostResponses(),
		bulkLoads:     bulkLoads{},
	}
}

// available reports whether the engine takes requests.
func (e *engine) available() bool { return e.state == EngineReady && !e.outlier.ejected() }

// reset sets the initial limits of an engine that is new or has restarted, for this front end's share of the
// traffic, and resets its outlier state. cores is zero if the settings do not name the engine's kind; in that
// case, one core is assumed.
func (e *engine) reset(cores float64, target concurrencyTarget, share float64, now time.Duration) {
	e.cores = max(cores, 1)
	e.rescale(target, share, now)
	e.limiter.reset()
	e.outlier.reset()
}

// rescale sets the engine's initial and maximum limit for this front end's share of the traffic.
func (e *engine) rescale(target concurrencyTarget, share float64, now time.Duration) {
	l := &e.limiter
	l.initialLimit = target.threadsPerCore * e.cores * share
	// The smaller the share, the more headroom there is for a single request of many threads.
	fullCapacityLimit := maxLimitFactor*l.initialLimit + target.maxThreads*(1-share)
	l.maxLimit = fullCapacityLimit * min(1, kneeSlowdown/max(l.slowdown, 1)) * e.slowStart.capacityShare(now)
}

// limitFor returns the limit that applies to the request on the engine, in threads. It is lower for a request
// beyond its tenant's quota. It depends on the request's value only under pressure: without pressure,
// shedding costly requests would waste capacity.
func (e *engine) limitFor(req *request, now time.Duration) float64 {
	if e.limiter.underPressure(now) {
		return e.limiter.limit * req.quotaFactor * req.valueFactor
	}
	return e.limiter.maxLimit * req.quotaFactor
}

// bulkLoads maps data sets of an engine to the instant until which a bulk load is assumed to block them.
type bulkLoads map[int64]time.Duration

// datasetBlocked reports whether a bulk load blocks the data set on the engine: a bulk load of this front end
// is in flight there, or an attempt has recently reported that it waits for a bulk load.
func (e *engine) datasetBlocked(dataset int64, now time.Duration) bool {
	return now < e.bulkLoads[dataset] || slices.ContainsFunc(e.inFlight, func(a *attempt) bool {
		return a.request.class.BulkLoad && a.request.dataset == dataset
	})
}
