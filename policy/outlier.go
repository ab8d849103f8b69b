package policy

import "time"

const (
	faultWeight       = 0.4             // weight of a failed connection in the fault rate
	errorWeight       = faultWeight / 2 // weight of a response with an error, and of a served request
	overdueWeight     = faultWeight / 4 // weight of an overdue response
	ejectionFaultRate = 0.6             // fault rate above which an engine is ejected: not by one error
)

// ejection says whether an engine is ejected, and what readmits it:
//
//	notEjected:          all attempts are silent -> ejectedUntilActive
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

// outlierState is what outlier detection knows of one engine: how long it has been silent, and which
// share of its latest attempts failed. An ejected engine is sent nothing but single idempotent
// requests, as probation.
type outlierState struct {
	ejection         ejection
	faultRate        float64       // share of the latest attempts that failed
	lastHeardAt      time.Duration // latest response or progress report
	connectionLostAt time.Duration // latest fault of a connection; 0: never
	probationAt      time.Duration // when it may next be sent a request while ejected
}

func (o *outlierState) ejected() bool { return o.ejection != notEjected }

// reset forgets the faults of an engine that has restarted.
func (o *outlierState) reset() {
	o.ejection = notEjected
	o.faultRate = 0
}

// recordFault counts an error or a failed connection, and reports whether the engine is to be ejected:
// engines that fail fast seem to have capacity.
func (o *outlierState) recordFault(weight float64) (exceeded bool) {
	o.faultRate = ewmaWeighted(o.faultRate, 1, weight)
	return o.faultRate > ejectionFaultRate
}

// recordConnectionFault notes a fault of a connection, and reports whether it counts: connections
// that break together count as one fault.
func (o *outlierState) recordConnectionFault(now time.Duration, result Result) (counts bool) {
	counts = now-o.connectionLostAt >= tickInterval || result == ResultConnectFailed
	o.connectionLostAt = now
	return counts
}

// recordServed counts a request that was served.
func (o *outlierState) recordServed(now time.Duration) {
	o.faultRate = ewmaWeighted(o.faultRate, 0, errorWeight)
	o.lastHeardAt = now
	if o.ejection == ejectedUntilServed {
		o.ejection = ejectedUntilActive
	}
}

// eject ejects the engine until the event that the given state waits for, and reports whether it was
// not ejected before.
func (o *outlierState) eject(until ejection, now, probationInterval time.Duration) (changed bool) {
	changed = o.ejection == notEjected
	o.ejection = max(o.ejection, until)
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
