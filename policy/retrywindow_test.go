package policy

import (
	"testing"
	"time"
)

func TestRetryWindowCountsTheStricterWayAtItsEdge(t *testing.T) {
	var window retryWindow
	for at := time.Second; at <= 3*time.Second; at += time.Second {
		window.addArrival(at)
		window.addRetry(at)
	}
	window.expire(2 * time.Second)
	if len(window.arrivals) != 1 || len(window.retries) != 2 {
		t.Errorf("%d arrivals and %d retries, want 1 after the edge and 2 from the edge on",
			len(window.arrivals), len(window.retries))
	}
}
