package policy

import (
	"testing"
	"time"
)

func TestRetryBudget_CountsTheStricterWayAtTheEdgeOfItsWindow(t *testing.T) {
	rules := Rules{RetryBudgetWindow: time.Second}
	window := retryBudget{rules: &rules}
	for at := time.Second; at <= 3*time.Second; at += time.Second {
		window.observeArrival(at)
		window.spend(at)
	}
	window.expire(3 * time.Second)
	if len(window.arrivals) != 1 || len(window.retries) != 2 {
		t.Errorf("%d arrivals and %d retries, want 1 after the edge and 2 from the edge on",
			len(window.arrivals), len(window.retries))
	}
}
