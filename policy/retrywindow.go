package policy

import (
	"slices"
	"time"
)

// retryWindow holds the instants of the arrivals and retries of a sliding window,
// which the retry budget compares.
type retryWindow struct {
	arrivals, retries []time.Duration
}

func (w *retryWindow) addArrival(now time.Duration) { w.arrivals = append(w.arrivals, now) }

func (w *retryWindow) addRetry(now time.Duration) { w.retries = append(w.retries, now) }

// expire drops what was before the start of the window. Exactly at its start an
// arrival has left the window and a retry has not: the stricter reading of both.
func (w *retryWindow) expire(start time.Duration) {
	w.arrivals = slices.DeleteFunc(w.arrivals, func(at time.Duration) bool { return at <= start })
	w.retries = slices.DeleteFunc(w.retries, func(at time.Duration) bool { return at < start })
}
