package policy

import (
	"math"
	"slices"
)

const (
	datasetSpread    = 2.0                // engines near a data set, for each one that its traffic fills
	datasetPrior     = 2.0                // requests as which an unseen data set counts, among
	priorDatasets    = 10                 // this many: popularity starts from an even distribution
	popularityWindow = 256                // requests over which the popularity of data sets is counted
	warmupPreference = 2.0                // weights in favour of slow start: an unused budget expires
	oversizePenalty  = 3.0                // weights against an engine too small for the request
	notRejected      = ReasonUnknownClass // rejectReason's answer for an engine that takes the request
)

// selectEngine returns the engine with the most spare capacity that takes the request, or the reason why
// none does: the greatest of their reasons.
func (b *Balancer) selectEngine(req *request) (best *engine, reason RejectReason) {
	if !b.fleetHasCapacity(req) {
		return nil, ReasonFleetLimit
	}
	reason = ReasonNoEndpoint
	highest, cutoff := math.Inf(-1), b.affinityCutoff(req.dataset)
	for _, e := range b.engines {
		bound := b.limit(req, &e.controlLoop)
		if e.ejected && b.probation(req, e) {
			return e, reason
		}
		if rejected := b.rejectReason(req, e, bound); rejected != notRejected {
			reason = max(reason, rejected)
			continue
		}
		near := affinity(e.hash, req.dataset) >= cutoff
		if score := b.score(req, e, bound, near); score > highest {
			best, highest = e, score
		}
	}
	return best, reason
}

// rejectReason tells why the engine can't take the request, or notRejected.
func (b *Balancer) rejectReason(req *request, e *engine, bound float64) RejectReason {
	switch {
	case e.state != EngineReady:
		return ReasonNoEndpoint
	case e.ejected || b.classStalled(e, req.class):
		return ReasonEjected
	case !b.fits(req, &e.controlLoop, bound):
		return ReasonEngineLimit
	case !b.withinWarmupBudget(req, e):
		return ReasonSlowStart
	case !b.mayStart(req, e):
		return ReasonAttemptsExhausted
	}
	return notRejected
}

// score is the engine's spare capacity in threads, adjusted by locality, load, health and a random term.
func (b *Balancer) score(req *request, e *engine, bound float64, near bool) float64 {
	score := bound - e.backlog + b.locality(req, e, near)
	score += math.Log(1-b.rng.Float64()) * req.weight / e.cores
	score += b.loadPenalty(e) - e.faultRate*e.maxBound
	if b.now < e.startedAt+b.settings.Rules.WarmupTime {
		score += warmupPreference * req.weight
	}
	if slices.ContainsFunc(req.attempts, func(a *attempt) bool { return a.engine == e }) {
		score -= e.maxBound // a retry prefers any other engine
	}
	if req.weight > bound {
		score -= oversizePenalty * req.weight
	}
	return score
}

// locality favours engines of the own zone and, among these, the ones that cache the data set.
func (b *Balancer) locality(req *request, e *engine, near bool) float64 {
	bonus := 0.0
	if e.zone == b.settings.Zone {
		bonus += req.weight
		if near && req.class.BulkLoad {
			bonus -= req.weight // the load would block the data set's readers
		} else if near {
			bonus += req.weight
		}
	}
	if (req.class.BulkLoad || req.class.BlockedByLoad) && e.datasetLoading(b.now, req.dataset) {
		bonus -= e.initialBound
	}
	return bonus
}

// affinityCutoff is the least affinity that counts as near the data set, among the zone's ready engines: one
// engine, and more in proportion to the data set's popularity, so that a popular one doesn't crowd a few.
func (b *Balancer) affinityCutoff(dataset int64) uint64 {
	b.affinities = b.affinities[:0]
	for _, e := range b.engines {
		if e.zone == b.settings.Zone && e.state == EngineReady && !e.ejected {
			b.affinities = append(b.affinities, affinity(e.hash, dataset))
		}
	}
	share := (b.popularity.count(dataset) + datasetPrior) / (b.popularity.total + priorDatasets*datasetPrior)
	near := 1 + int(math.Ceil(datasetSpread*share*float64(len(b.affinities))))
	return nthHighest(b.affinities, near)
}
