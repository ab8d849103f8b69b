package policy

import (
	"slices"
	"time"
)

// retryBudget limits the retries within a sliding window to a constant plus a share of the requests that
// arrived within it. If the settings have no window, retries are not limited.
type retryBudget struct {
	rules    *Rules
	arrivals []time.Duration // instants within the window
	retries  []time.Duration // instants within the window
}

func (r *retryBudget) limited() bool { return r.rules.RetryBudgetWindow > 0 }

// observeArrival counts an arrival, which raises the budget by RetryBudgetRatio.
func (r *retryBudget) observeArrival(now time.Duration) {
	if r.limited() {
		r.arrivals = append(r.arrivals, now)
	}
}

// spend counts a retry that is sent.
func (r *retryBudget) spend(now time.Duration) {
	if r.limited() {
		r.retries = append(r.retries, now)
	}
}

// permits reports whether another retry is within the budget.
func (r *retryBudget) permits(now time.Duration) bool {
	if !r.limited() {
		return true
	}
	r.expire(now)
	budget := r.rules.RetryBudgetMin + r.rules.RetryBudgetRatio*float64(len(r.arrivals))
	return float64(len(r.retries)+1) <= budget
}

// expire drops the arrivals and retries before the start of the window. It also drops
// arrivals exactly at the start, but keeps such retries, so that the budget is never too large.
func (r *retryBudget) expire(now time.Duration) {
	start := now - r.rules.RetryBudgetWindow
	r.arrivals = slices.DeleteFunc(r.arrivals, func(at time.Duration) bool { return at <= start })
	r.retries = slices.DeleteFunc(r.retries, func(at time.Duration) bool { return at < start })
}
