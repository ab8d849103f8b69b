package policy

import (
	"math"
	"time"
)

const (
	loadReportDecay    = 8 * controlPeriod // age at which a report counts 1/e; wide requests run for seconds
	maxReportedPerCore = 50.0              // requests in flight a core; a higher report counts as this
	fleetLevelWindow   = 5                 // reports that the fleet's load level is averaged over
	meanLoadWindow     = 20                // reports that the mean load is averaged over
	maxOverload        = 2                 // intended loads; a higher reported load counts as this
	minCheckLevel      = 0.3               // load level at and below which health checks are rarest
	loadPenaltyFactor  = 0.25              // share of a difference in load that counts against an engine
)

// reportedLoad is the latest load that an engine has reported.
type reportedLoad struct {
	threadsPerCore float64
	at             time.Duration // 0: never
}

// loadReports evaluates the load that engines report, which includes what other front ends have sent. Its
// unit is threads a core.
type loadReports struct {
	threadsPerCore float64 // that an engine should have at most
	swaps          bool    // an excess of memory slows down all requests of an engine
	mean           float64 // mean reported load; fleet.loadLevel follows faster and is relative
	fleet          *fleet
	traffic        *trafficEstimate
}

// record computes an engine's load from its report: from the requests in flight or, without these, from the
// busy cores. Where an excess of memory slows all requests down, the load is at least that of the memory.
func (l *loadReports) record(e *engine, report LoadReport, now time.Duration) {
	if !report.Reported || !(max(report.InFlight, report.CPUShare) >= 0) { // neither figure, or NaN
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

// penalty returns the part of an engine's score, at most 0 and in threads, for a reported load above the
// mean. It fades with the report's age.
func (l *loadReports) penalty(e *engine, now time.Duration) float64 {
	age := float64(now - e.load.at)
	difference := min(l.mean-e.load.threadsPerCore, 0)
	return loadPenaltyFactor * difference * e.cores * math.Exp(-age/float64(loadReportDecay))
}

// checkHealth requests the load of a random engine, at each arrival or less often while the fleet is idle.
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
