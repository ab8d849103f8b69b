package lifecycle

import "time"

// CostObserver learns what requests cost at their engines. It is notified only of
// requests that have ObserverData.
type CostObserver interface {
	// ObserveServed reports an attempt that was served.
	ObserveServed(r *Request, report AttemptReport, elapsed time.Duration)
	// ObserveTimeout reports an attempt that was given up at its timeout.
	ObserveTimeout(r *Request, elapsed time.Duration)
	// Release announces that nothing more will be reported of the request, so
	// that its ObserverData may be reused.
	Release(r *Request)
}

// observes reports whether the cost observer is notified of the request.
func (d *Dispatcher) observes(r *Request) bool {
	return d.costObserver != nil && r.ObserverData != nil
}

// observeCost reports the cost of an attempt that has ended.
func (d *Dispatcher) observeCost(a *Attempt, status AttemptStatus, report AttemptReport) {
	if !d.observes(a.Request) {
		return
	}
	elapsed := d.clock.Now() - a.StartedAt
	switch status {
	case StatusServed:
		d.costObserver.ObserveServed(a.Request, report, elapsed)
	case StatusTimeout:
		d.costObserver.ObserveTimeout(a.Request, elapsed)
	}
}
