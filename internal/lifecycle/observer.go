package lifecycle

import "time"

// CostObserver is notified of the cost of requests at their engines, but only for requests
// that have ObserverData.
type CostObserver interface {
	// ObserveServed reports an attempt that was served.
	ObserveServed(r *Request, report AttemptReport, elapsed time.Duration)
	// ObserveTimeout reports an attempt that was given up at its timeout.
	ObserveTimeout(r *Request, elapsed time.Duration)
	// Release announces that nothing more will be reported about the request, so
	// that its ObserverData may be reused.
	Release(r *Request)
}

// costReporter notifies the CostObserver, if there is one, of the requests that have ObserverData.
type costReporter struct{ observer CostObserver }

// observes reports whether the observer is notified of the request.
func (c *costReporter) observes(r *Request) bool {
	return c.observer != nil && r.ObserverData != nil
}

// observe reports the cost of an attempt that has ended.
func (c *costReporter) observe(a *Attempt, status AttemptStatus, report AttemptReport, elapsed time.Duration) {
	if !c.observes(a.Request) {
		return
	}
	switch status {
	case StatusServed:
		c.observer.ObserveServed(a.Request, report, elapsed)
	case StatusTimeout:
		c.observer.ObserveTimeout(a.Request, elapsed)
	default: // no other status shows the cost
	}
}

// release announces that nothing more will be reported about the request.
func (c *costReporter) release(r *Request) {
	if c.observes(r) {
		c.observer.Release(r)
	}
}
