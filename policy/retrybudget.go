package policy

import (
	"slices"
	"time"
)

// retryBudget limits the retries within a sliding window to a constant plus a share of the requests
// that arrived within it. Without a window in the settings there is no limit. It holds the instants
// of the window's arrivals and retries.
type retryBudget struct {
	rules    *Rules
	arrivals []time.Duration
	retries  []time.Duration
}

func (w *retryBudget) limited() bool { return w.rules.RetryBudgetWindow > 0 }

// observeArrival counts a request that has arrived.
func (w *retryBudget) observeArrival(now time.Duration) {
	if w.limited() {
		w.arrivals = append(w.arrivals, now)
	}
}

// spend counts a retry that was sent.
func (w *retryBudget) spend(now time.Duration) {
	if w.limited() {
		w.retries = append(w.retries, now)
	}
}

// permits reports whether another retry is within the budget.
func (w *retryBudget) permits(now time.Duration) bool {
	if !w.limited() {
		return true
	}
	w.expire(now)
	budget := w.rules.RetryBudgetMin + w.rules.RetryBudgetRatio*float64(len(w.arrivals))
	return float64(len(w.retries)+1) <= budget
}

// expire drops what was before the start of the window. Exactly at its start an
// arrival has left the window and a retry has not: the stricter reading of both.
func (w *retryBudget) expire(now time.Duration) {
	start := now - w.rules.RetryBudgetWindow
	w.arrivals = slices.DeleteFunc(w.arrivals, func(at time.Duration) bool { return at <= start })
	w.retries = slices.DeleteFunc(w.retries, func(at time.Duration) bool { return at < start })
}
