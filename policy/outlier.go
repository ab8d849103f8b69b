package policy

import "time"

const (
	connectionFaultWeight = 0.4                       // of a failed connection in the fault rate
	errorWeight           = connectionFaultWeight / 2 // of a response with an error, and of a served request
	overdueWeight         = connectionFaultWeight / 4 // of an overdue response

	faultDecayPeriods = 40  // control periods in which a fault rate fades without responses
	ejectionFaultRate = 0.6 // above it an engine is ejected, as after two connection faults
)

// ejection says whether an engine is ejected, and what readmits it:
//
//	notEjected:          the engine is silent -> ejectedUntilActive
//	any:                 fault rate above the threshold -> ejectedUntilServed
//	ejectedUntilServed:  a request is served -> ejectedUntilActive
//	ejectedUntilActive:  a progress report or a response -> notEjected
//	any:                 the engine restarts -> notEjected
type ejection uint8

const (
	notEjected ejection = iota
	ejectedUntilActive
	ejectedUntilServed
)

// outlierState is the state of outlier detection for one engine: how long it has been silent, and which
// share of its latest attempts failed. An ejected engine is sent nothing but single idempotent
// requests, as probation.
type outlierState struct {
	ejection          ejection
	faultRate         float64       // share of the latest attempts that failed
	lastHeardAt       time.Duration // latest response or progress report
	connectionFaultAt time.Duration // latest fault of a connection; 0: never
	probationAt       time.Duration // when it may next be sent a request while ejected
}

func (o *outlierState) ejected() bool { return o.ejection != notEjected }

// reset forgets the faults of an engine that has restarted.
func (o *outlierState) reset() {
	o.ejection = notEjected
	o.faultRate = 0
}

// recordFault adds a fault to the rate and reports whether the rate exceeds the threshold. An engine that
// fails fast would attract requests, since it always has capacity.
func (o *outlierState) recordFault(weight float64) (exceeded bool) {
	o.faultRate = ewmaWeighted(o.faultRate, 1, weight)
	return o.faultRate > ejectionFaultRate
}

// recordConnectionFault notes a fault of a connection and reports whether to count it. Connections that
// break within a tick count once; each connection that failed counts.
func (o *outlierState) recordConnectionFault(now time.Duration, result Result) (counts bool) {
	counts = now-o.connectionFaultAt >= tickPeriod || result == ResultConnectFailed
	o.connectionFaultAt = now
	return counts
}

// fade lowers the fault rate once a control period.
func (o *outlierState) fade() { o.faultRate = ewma(o.faultRate, 0, faultDecayPeriods) }

// recordServed counts a request that was served.
func (o *outlierState) recordServed(now time.Duration) {
	o.faultRate = ewmaWeighted(o.faultRate, 0, errorWeight)
	o.lastHeardAt = now
	if o.ejection == ejectedUntilServed {
		o.ejection = ejectedUntilActive
	}
}

// eject ejects the engine into the given state, unless it is in a stricter one, and reports whether it was
// not ejected before.
func (o *outlierState) eject(target ejection, now, probationInterval time.Duration) (changed bool) {
	changed = o.ejection == notEjected
	o.ejection = max(o.ejection, target)
	if changed {
		o.probationAt = now + probationInterval
	}
	return changed
}

// readmit ends an ejection that waits for no more than a sign of activity, and reports whether it did.
func (o *outlierState) readmit() (changed bool) {
	if o.ejection != ejectedUntilActive {
		return false
	}
	o.ejection = notEjected
	return true
}
