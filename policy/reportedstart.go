package policy

import (
	"math"
	"time"
)

const (
	// maxNoticeShare is the share of the warm-up time after which a reported start is too old to
	// be believed: a notice is some seconds late, and a wall clock may be wrong by any time. At
	// this age the capacity, which grows as a square, has hardly grown.
	maxNoticeShare = 0.25
	// firstListTime is how long after its first event a balancer still takes a start for one of
	// the list that it begins with, which may be of any age.
	firstListTime = time.Second
)

// reportedStart is the start of an engine as the endpoint list reports it, by the engine's own
// wall clock. That clock may be stepped between two starts, so a later start may be reported as
// an earlier instant.
type reportedStart struct {
	latest, previous time.Duration
}

// newReportedStart returns the state before any report.
func newReportedStart() reportedStart {
	return reportedStart{latest: math.MinInt64, previous: math.MinInt64}
}

// isNew reports whether a reported start is another than the latest. The one before it comes
// from a list that is out of date.
func (r *reportedStart) isNew(start time.Duration) bool {
	return start != r.latest && start != r.previous
}

// set records a new start.
func (r *reportedStart) set(start time.Duration) { r.previous, r.latest = r.latest, start }

// estimateStart translates a start that has just been reported to the balancer's clock. One
// ahead of the clock is taken for one right now, and so is one too long ago for its report,
// unless it comes with the list that the balancer begins with.
func (b *Balancer) estimateStart(reported time.Duration) time.Duration {
	if reported > b.now {
		return b.now
	}
	inFirstList := !b.started || b.now < b.startedAt+firstListTime
	maxNotice := time.Duration(maxNoticeShare * float64(b.settings.Rules.WarmupTime))
	if !inFirstList && reported < b.now-maxNotice {
		return b.now
	}
	return reported
}
