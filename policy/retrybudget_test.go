package policy

import (
	"testing"
	"time"
)

func TestRetryBudget_IsStrictAtTheStartOfItsWindow(t *testing.T) {
	rules := Rules{RetryBudgetWindow: time.Second}
	budget := retryBudget{rules: &rules}
	for at := time.Second; at <= 3*time.Second; at += time.Second {
		budget.observeArrival(at)
		budget.spend(at)
	}
	budget.expire(3 * time.Second)
	if len(budget.arrivals) != 1 || len(budget.retries) != 2 {
		t.Errorf("%d arrivals and %d retries, want 1 and 2: exactly at the start of the window, only retries count",
			len(budget.arrivals), len(budget.retries))
	}
}
