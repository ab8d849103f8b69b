package policy

import "time"

const (
	// Weights of one sample in the fault rate.
	connectionFaultWeight = 0.4                       // failed or broken connection
	errorWeight           = connectionFaultWeight / 2 // response with an error, or a served request
	overdueWeight         = connectionFaultWeight / 4 // overdue response

	faultDecayPeriods = 40  // control periods over which the fault rate decays, even without responses
	ejectionFaultRate = 0.6 // an engine above it is ejected; two connection faults in a row exceed it
)

// ejection is whether an engine is ejected and, if so, which events readmit it:
//
//	notEjected:          the engine is silent -> ejectedUntilActive
//	any:                 fault rate above the threshold -> ejectedUntilServed
//	ejectedUntilServed:  a request is served -> ejectedUntilActive
//	ejectedUntilActive:  a progress report or a served request -> notEjected
//	any:                 the engine restarts -> notEjected
type ejection uint8

const (
	notEjected ejection = iota
	ejectedUntilActive
	ejectedUntilServed
)

// outlierState is the state of outlier detection for one engine: when the engine was last heard from, and the
// share of its latest attempts that failed. On probation, an ejected engine is sent only idempotent requests,
// one at a time.
type outlierState struct {
	ejection          ejection
	faultRate         float64       // share of the latest attempts that failed
	lastHeardAt       time.Duration // latest response or progress report
	connectionFaultAt time.Duration // latest connection fault; 0: no fault so far
	probationAt       time.Duration // earliest instant of the next probation request
}

func (o *outlierState) ejected() bool { return o.ejection != notEjected }

// reset ends the ejection of an engine that has restarted, and clears its fault rate.
func (o *outlierState) reset() {
	o.ejection = notEjected
	o.faultRate = 0
}

// recordFault adds a fault to the fault rate and reports whether the rate exceeds the ejection threshold.
// Without ejection, an engine that fails fast would attract requests, since it always has capacity.
func (o *outlierState) recordFault(weight float64) (exceeded bool) {
	o.faultRate = ewmaWeighted(o.faultRate, 1, weight)
	return o.faultRate > ejectionFaultRate
}

// recordConnectionFault records a connection fault and reports whether it counts in the fault rate. A
// connection that breaks within tickPeriod of the previous fault does not count; every failure to connect
// does.
func (o *outlierState) recordConnectionFault(now time.Duration, result Result) (counts bool) {
	counts = now-o.connectionFaultAt >= tickPeriod || result == ResultConnectFailed
	o.connectionFaultAt = now
	return counts
}

// decayFaultRate lowers the fault rate at the end of a control period.
func (o *outlierState) decayFaultRate() { o.faultRate = ewma(o.faultRate, 0, faultDecayPeriods) }

// recordServed records a request that was served, which lowers the fault rate.
func (o *outlierState) recordServed(now time.Duration) {
	o.faultRate = ewmaWeighted(o.faultRate, 0, errorWeight)
	o.lastHeardAt = now
	if o.ejection == ejectedUntilServed {
		o.ejection = ejectedUntilActive
	}
}

// eject sets the engine's ejection to target, unless its present ejection is stricter. It reports whether the
// engine was in service before.
func (o *outlierState) eject(target ejection, now, probationInterval time.Duration) (changed bool) {
	changed = o.ejection == notEjected
	o.ejection = max(o.ejection, target)
	if changed {
		o.probationAt = now + probationInterval
	}
	return changed
}

// readmit ends the ejection of an engine that is ejectedUntilActive, and reports whether it did so.
func (o *outlierState) readmit() (changed bool) {
	if o.ejection != ejectedUntilActive {
		return false
	}
	o.ejection = notEjected
	return true
}
