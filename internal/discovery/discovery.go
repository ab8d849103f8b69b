// Package discovery contains the code that is common to the sources of the endpoint list. Each source is a
// package in a subdirectory: eventbus and consul. A source watches an external system and notifies one
// Sink, which is the dispatcher, of the engines.
package discovery

import (
	"time"

	"flaxrelay/internal/lifecycle"
	"flaxrelay/policy"
)

// Sink receives endpoint updates.
type Sink interface {
	// UpdateEndpoints receives all engines (policy.UpdateFull) or the changed engines
	// (policy.UpdateDelta). It is called on the goroutine that owns the endpoint list.
	UpdateEndpoints(mode policy.UpdateMode, engines []lifecycle.Endpoint)
}

// startTimeLimit is the lowest start time that is out of range, in milliseconds since the Unix epoch.
// It is in the year 2248. Lower start times fit into a time.Duration.
const startTimeLimit = 1 << 43

// StartTime converts the start time of an engine as a source reports it, in milliseconds since the
// Unix epoch. The start time is unknown if the number is zero, negative or out of range.
func StartTime(unixMilliseconds int64) (at time.Duration, known bool) {
	if unixMilliseconds <= 0 || unixMilliseconds >= startTimeLimit {
		return 0, false
	}
	return time.Duration(unixMilliseconds) * time.Millisecond, true
}
