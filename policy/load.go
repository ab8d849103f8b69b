package policy

import (
	"math"
	"time"
)

const (
	// loadReportDecay is the age at which a report counts 1/e. Requests of many threads run for seconds.
	loadReportDecay = 8 * controlPeriod

	maxReportedPerCore = 50.0 // requests in flight per core; a higher report counts as this
	fleetLevelWindow   = 5    // reports over which the fleet's load level is averaged
	meanLoadWindow     = 20   // reports over which the mean load is averaged
	maxOverload        = 2    // multiple of the intended load; a higher load counts as this
	minCheckLevel      = 0.3  // load level at and below which health checks are least frequent
	loadPenaltyFactor  = 0.25 // share of a difference in load that counts against an engine
)

// reportedLoad is the load that an engine has reported last.
type reportedLoad struct {
	threadsPerCore float64
	at             time.Duration // 0: no report yet
}

// loadReports evaluates the load that engines report, which includes the requests of other front ends. Loads
// are in threads per core.
type loadReports struct {
	threadsPerCore float64 // intended load: the most that an engine should have
	swaps          bool    // an engine that grants more memory than it has slows down for all requests
	mean           float64 // mean load; fleet.loadLevel is a faster mean, relative to threadsPerCore
	fleet          *fleet
	traffic        *trafficEstimate
}

// record computes an engine's load from its report: from the requests in flight or, if these are not
// reported, from the busy cores. If engines swap, the load is at least the intended load times the share of
// the memory that is granted. A report is ignored if it states neither number, or if one of the two is NaN.
func (l *loadReports) record(e *engine, report LoadReport, now time.Duration) {
	if !report.Reported || !(max(report.InFlight, report.CPUShare) >= 0) { // a comparison with NaN is false
		return
	}
	load := l.threadsPerCore * report.CPUShare
	if report.InFlight >= 0 {
		inFlight := min(report.InFlight, maxReportedPerCore*e.cores)
		l.traffic.observeReport(inFlight)
		load = inFlight * l.traffic.meanWeight / e.cores
	}
	if l.swaps {
		load = max(load, l.threadsPerCore*report.MemoryShare)
	}
	load = min(load, maxOverload*l.threadsPerCore)
	e.load = reportedLoad{threadsPerCore: load, at: now}
	l.fleet.loadLevel = ewma(l.fleet.loadLevel, load/l.threadsPerCore, fleetLevelWindow)
	l.mean = ewma(l.mean, load, meanLoadWindow)
}

// penalty returns the term of an engine's score for a reported load above the mean, in threads; it is never
// positive. It decays with the age of the report.
func (l *loadReports) penalty(e *engine, now time.Duration) float64 {
	age := float64(now - e.load.at)
	difference := min(l.mean-e.load.threadsPerCore, 0)
	return loadPenaltyFactor * difference * e.cores * math.Exp(-age/float64(loadReportDecay))
}

// checkHealth, which runs at each arrival, requests the load of a random engine. While the reported load is
// low, it does so only with a probability below 1.
func (b *Balancer) checkHealth() {
	probability := max(b.fleet.loadLevel, minCheckLevel) / (1 - assumedFreeShare)
	enabled := b.settings.Limits.HealthChecks && b.settings.ReportsLoad
	engines := b.engines.all
	if !enabled || len(engines) == 0 || b.rng.Float64() > probability {
		return
	}
	if e := engines[b.rng.IntN(len(engines))]; e.state == EngineReady {
		b.actions.add(CheckHealth{Engine: e.id})
	}
}
