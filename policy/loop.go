package policy

import "time"

// controlLoop is the state of one latency control loop: one for each engine, and
// one for the fleet, which is all engines together. Its unit of load is a thread.
type controlLoop struct {
	initialBound   float64       // threads
	maxBound       float64       // cap of the bound, threads
	bound          float64       // admission limit under pressure, threads
	alpha          float64       // estimated relative latency that each thread of bound adds
	backlog        float64       // threads of the requests in flight
	loadLevel      float64       // fleet only: reported load; one where engines have all they should hold
	slowdown       float64       // latency over the quick latency of the request's class
	latencySum     float64       // of the period's answers, each relative to its objective
	samples        int           // answers in latencySum
	pressuredUntil time.Duration // the bound applies until then, in place of its cap
}

// observe records one latency, relative to its objective and to the quick latency of its class.
func (l *controlLoop) observe(relativeLatency, slowdown float64) {
	l.latencySum += relativeLatency
	l.samples++
	l.slowdown = ewma(l.slowdown, min(slowdown, maxSlowdown), slowdownWindow)
}
