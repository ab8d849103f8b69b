package policy

import (
	"math"
	"time"
)

const (
	// maxNoticeShare is the share of the warm-up time after which a reported start is too old to be
	// believed: a notice is some seconds late at most, and a wall clock may be wrong by any time. At this
	// age the budget, which assumes that capacity grows as a square, has hardly grown.
	maxNoticeShare = 0.25
	// firstListTime is the time after the first event in which a reported start of any age is believed: it
	// is of the list that the balancer begins with.
	firstListTime = time.Second
)

// reportedStart is the start of an engine as the endpoint list reports it, by the engine's own
// wall clock. That clock may be stepped between two starts, so a later start may be reported as
// an earlier instant.
type reportedStart struct {
	latest   time.Duration
	previous time.Duration
}

// newReportedStart returns the state before any report.
func newReportedStart() reportedStart {
	return reportedStart{latest: math.MinInt64, previous: math.MinInt64}
}

// differs reports whether a reported start is neither the latest nor the one before it. The one
// before it comes from a list that is out of date.
func (r *reportedStart) differs(start time.Duration) bool {
	return start != r.latest && start != r.previous
}

// set records a new start.
func (r *reportedStart) set(start time.Duration) {
	r.previous = r.latest
	r.latest = start
}

// estimateStart translates a start that has just been reported to the balancer's clock. A start that
// lies in the future, or further in the past than a notice can be late, is treated as a start right
// now: the engine's wall clock was stepped. The list that the balancer begins with may name starts
// of any age.
func (r *slowStartRules) estimateStart(now, reported time.Duration) time.Duration {
	if reported > now {
		return now
	}
	inFirstList := now < r.firstEventAt+firstListTime
	maxNotice := time.Duration(maxNoticeShare * float64(r.WarmupTime))
	if !inFirstList && reported < now-maxNotice {
		return now
	}
	return reported
}
