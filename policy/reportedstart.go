package policy

import (
	"math"
	"time"
)

const (
	// maxStartAgeShare is the greatest age at which a reported start is believed, as a share of the warm-up
	// time. The endpoint list reports a start a few seconds late at most, but the engine's wall clock may be
	// wrong by any amount. At this age the budget, which assumes quadratic growth of the capacity, has
	// hardly grown.
	maxStartAgeShare = 0.25
	// firstListPeriod is how long after the first event a reported start of any age is believed: the start
	// belongs to the first endpoint list, which may name starts of any age.
	firstListPeriod = time.Second
)

// reportedStart is the start of an engine as the endpoint list reports it, by the engine's wall clock. The
// wall clock may be stepped between two starts, so a later start may be reported as an earlier instant.
type reportedStart struct {
	latest   time.Duration
	previous time.Duration
}

// newReportedStart returns the state before any report.
func newReportedStart() reportedStart {
	return reportedStart{latest: math.MinInt64, previous: math.MinInt64}
}

// differs reports whether a reported start is new, that is, neither the latest nor the previous start. An
// endpoint list that is out of date reports the previous start.
func (r *reportedStart) differs(start time.Duration) bool {
	return start != r.latest && start != r.previous
}

// set records a new start.
func (r *reportedStart) set(start time.Duration) {
	r.previous = r.latest
	r.latest = start
}

// estimateStart converts a newly reported start to the balancer's clock. A start in the future, or so long
// ago that the endpoint list would have reported it earlier, is treated as a start right now: the engine's
// wall clock was stepped. The first endpoint list may name starts of any age.
func (r *slowStartRules) estimateStart(now, reported time.Duration) time.Duration {
	if reported > now {
		return now
	}
	inFirstList := now < r.firstEventAt+firstListPeriod
	maxStartAge := time.Duration(maxStartAgeShare * float64(r.WarmupTime))
	if !inFirstList && reported < now-maxStartAge {
		return now
	}
	return reported
}
