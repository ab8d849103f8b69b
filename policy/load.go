package policy

import "math"

const (
	loadReportDecay    = 8 * controlPeriod // age at which a report has faded to 1/e: wide requests run on
	maxReportedPerCore = 50.0              // requests in flight a core that a report is believed to state
	fleetLevelWindow   = 5                 // reports that the fleet's load level is averaged over
	meanLoadWindow     = 20                // reports that the mean load is averaged over
	maxOverload        = 2                 // a report counts as this many times the intended load at most
	loadPenaltyFactor  = 0.25              // share of a difference in load that counts against an engine
)

// onLoadReport records an engine's load in threads a core: from its requests in flight or else busy cores,
// and from its granted memory where an excess slows all requests down.
func (b *Balancer) onLoadReport(e *engine, report LoadReport) {
	if !report.Reported || !(max(report.InFlight, report.CPUShare) >= 0) { // neither figure, or NaN
		return
	}
	e.reportedLoad = b.threadsPerCore * report.CPUShare
	if report.InFlight >= 0 {
		inFlight := min(report.InFlight, maxReportedPerCore*e.cores)
		b.traffic.observeReport(inFlight)
		e.reportedLoad = inFlight * b.traffic.meanWeight / e.cores
	}
	if b.settings.Shortage == ShortageSwap {
		e.reportedLoad = max(e.reportedLoad, b.threadsPerCore*report.MemoryShare)
	}
	e.reportedLoad = min(e.reportedLoad, maxOverload*b.threadsPerCore)
	e.loadReportedAt = b.now
	b.fleet.loadLevel = ewma(b.fleet.loadLevel, e.reportedLoad/b.threadsPerCore, fleetLevelWindow)
	b.meanLoad = ewma(b.meanLoad, e.reportedLoad, meanLoadWindow)
}

// checkHealth asks a random engine for its load, at each arrival or less often while the fleet is idle.
func (b *Balancer) checkHealth() {
	probability := max(b.fleet.loadLevel, idleLevel) / (1 - idleLevel)
	enabled := b.settings.Limits.HealthChecks && b.settings.ReportsLoad
	if !enabled || len(b.engines) == 0 || b.rng.Float64() > probability {
		return
	}
	if e := b.engines[b.rng.IntN(len(b.engines))]; e.state == EngineReady {
		b.emit(CheckHealth{Engine: e.id})
	}
}

// loadPenalty is how far the mean load lies under the engine's reported load, in threads and as a negative
// number, fading with the report's age: the own backlog doesn't hold what other balancers sent there.
func (b *Balancer) loadPenalty(e *engine) float64 {
	age := float64(b.now - e.loadReportedAt)
	difference := min(b.meanLoad-e.reportedLoad, 0)
	return loadPenaltyFactor * difference * e.cores * math.Exp(-age/float64(loadReportDecay))
}
