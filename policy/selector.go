package policy

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// Terms of a score, as multiples of the request's weight.
	slowStartPreference = 2.0 // added for a recently started engine: its budget expires if unused
	oversizePenalty     = 3.0 // subtracted for an engine that is too small for the request
)

// selector chooses the engine for a request's next attempt. Of the engines that may take the request, it
// chooses the one with the most spare capacity, adjusted by locality, reported load, faults and a random
// term. Scores are in threads. The selector updates only the popularity of data sets and the instants of the
// next probation requests. It only reads all other state.
type selector struct {
	zone     string // where this front end runs
	rng      *rand.Rand
	fleet    *fleet
	rules    *attemptRules
	load     *loadReports
	silence  *silenceDetector
	affinity datasetAffinity
}

// choose returns the first engine that is due for a probation request. If no engine is due, it returns the
// engine with the highest score. If no engine may take the request, it returns nil and the reason, which is
// ReasonFleetLimit or the greatest of the reasons of all engines.
func (s *selector) choose(
	req *request, engines []*engine, now time.Duration,
) (best *engine, reason RejectReason) {
	if !s.fleet.admits(req, now, s.rng) {
		return nil, ReasonFleetLimit
	}
	reason = ReasonNoEndpoint
	highest := math.Inf(-1)
	cutoff := s.affinity.cutoff(engines, req.dataset)
	for _, e := range engines {
		limit := e.limitFor(req, now)
		if e.outlier.ejected() && s.startProbation(req, e, now) {
			return e, reason
		}
		if engineReason, rejected := s.rejectReason(req, e, limit, now); rejected {
			reason = max(reason, engineReason)
			continue
		}
		near := affinity(e.idHash, req.dataset) >= cutoff
		if score := s.score(req, e, limit, near, now); score > highest {
			best = e
			highest = score
		}
	}
	return best, reason
}

// rejectReason returns why the engine may not take the request; rejected is false if it may.
func (s *selector) rejectReason(
	req *request, e *engine, limit float64, now time.Duration,
) (reason RejectReason, rejected bool) {
	switch {
	case e.state != EngineReady:
		return ReasonNoEndpoint, true
	case e.outlier.ejected() || e.classStalled(req.class, now):
		return ReasonEjected, true
	case !e.limiter.admits(req.weight, limit, s.rng):
		return ReasonEngineLimit, true
	case !e.slowStartPermits(req, s.rules.traffic, now):
		return ReasonSlowStart, true
	case !s.rules.mayStart(req, e, now):
		return ReasonAttemptsExhausted, true
	}
	return 0, false
}

// startProbation reports whether the request may be the probation request of an ejected engine and, if so,
// sets when the next one may follow. The engine must be idle, and the request must be idempotent and without
// earlier attempts.
func (s *selector) startProbation(req *request, e *engine, now time.Duration) bool {
	idle := len(e.inFlight) == 0
	firstAttempt := len(req.attempts) == 0
	if req.class.Effect != Idempotent || !idle || !firstAttempt || now < e.outlier.probationAt ||
		!s.rules.mayStart(req, e, now) {
		return false
	}
	e.outlier.probationAt = now + s.silence.probationInterval()
	return true
}

// score returns the engine's spare capacity for the request in threads, adjusted by locality, reported
// load, faults and slow start. An exponential random term is subtracted, so that front ends do not all
// choose the same engine; its mean is the request's weight divided by the engine's cores.
func (s *selector) score(req *request, e *engine, limit float64, near bool, now time.Duration) float64 {
	score := limit - e.limiter.backlog + s.locality(req, e, near, now)
	score += math.Log(1-s.rng.Float64()) * req.weight / e.cores
	score += s.load.penalty(e, now) - e.outlier.faultRate*e.limiter.maxLimit
	if e.slowStart.recentlyStarted(now) {
		score += slowStartPreference * req.weight
	}
	if slices.ContainsFunc(req.attempts, func(a *attempt) bool { return a.engine == e }) {
		score -= e.limiter.maxLimit // a retry should go to another engine
	}
	if req.weight > limit {
		score -= oversizePenalty * req.weight
	}
	return score
}

// locality returns the locality term of an engine's score, in threads. It favours engines in this front end's
// zone and, among these, engines that cache the data set. For bulk loads, and for requests that wait for bulk
// loads, the term is lower on engines where a bulk load blocks the data set.
func (s *selector) locality(req *request, e *engine, near bool, now time.Duration) float64 {
	bonus := 0.0
	if e.zone == s.zone {
		bonus += req.weight
		if near && req.class.BulkLoad {
			bonus -= req.weight // the load would block the data set's readers
		} else if near {
			bonus += req.weight
		}
	}
	if (req.class.BulkLoad || req.class.BlockedByLoad) && e.datasetBlocked(req.dataset, now) {
		bonus -= e.limiter.initialLimit
	}
	return bonus
}
