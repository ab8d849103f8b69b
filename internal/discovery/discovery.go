// Package discovery holds what the sources of the endpoint list share. Each source is a
// package of its own below this one; it notifies one Sink of the engines.
package discovery

import (
	"time"

	"flaxrelay/internal/lifecycle"
	"flaxrelay/policy"
)

// Sink is notified of the engines: of all of them (policy.UpdateFull), or of those that
// changed (policy.UpdateDelta). It is called on the goroutine that owns the endpoint list.
type Sink interface {
	UpdateEndpoints(mode policy.UpdateMode, engines []lifecycle.Endpoint)
}

// startTimeLimit bounds a start time, in milliseconds since the Unix epoch (it lies in
// the year 2248), so that it fits a time.Duration.
const startTimeLimit = 1 << 43

// StartTime converts the start time that a source gives for an engine, in milliseconds
// since the Unix epoch. It is not known where it is zero, negative or out of range.
func StartTime(unixMilliseconds int64) (at time.Duration, known bool) {
	if unixMilliseconds <= 0 || unixMilliseconds >= startTimeLimit {
		return 0, false
	}
	return time.Duration(unixMilliseconds) * time.Millisecond, true
}
