package policy

import (
	"slices"
	"time"
)

// request is a request that still needs a final response or has attempts that have not ended.
type request struct {
	id                uint64
	class             *class
	orderKey          string
	dataset           int64
	deadline          time.Duration
	estimatedMemoryMB float64
	expectedWorkMs    float64 // sum over all threads
	weight            float64 // threads, as counted in backlogs
	valueRank         float64 // log2 of priority weight divided by expected work, relative to the mean
	quotaFactor       float64 // share of a limit that the request may use, by its tenant's quota
	valueFactor       float64 // share of a limit that the request may use, by its value rank
	attempts          []*attempt
	completed         bool // the final response was given, or the client has disconnected
}

func newRequest(c *class, ev RequestArrived) *request {
	return &request{
		id:                ev.RequestID,
		class:             c,
		orderKey:          ev.OrderKey,
		dataset:           ev.Dataset,
		deadline:          ev.Deadline,
		estimatedMemoryMB: ev.EstimatedMemoryMB,
		expectedWorkMs:    c.workMs,
		weight:            c.Threads,
		quotaFactor:       1,
		valueFactor:       1,
	}
}

// usualLatencyMs returns the class's mean latency, scaled by the ratio of the request's expected work to the
// class's mean work.
func (r *request) usualLatencyMs() float64 {
	return r.class.latencyMs * r.expectedWorkMs / r.class.workMs
}

// latencyObjectiveMs returns the class's latency objective, extended in proportion to the expected work, but
// no later than the class's deadline.
func (r *request) latencyObjectiveMs() float64 {
	c := r.class
	stretchMs := c.ObjectiveStretch * r.expectedWorkMs / c.Threads
	return min(milliseconds(c.LatencyObjective)+stretchMs, milliseconds(c.Deadline))
}

// retryMeetsObjective reports whether a retry with the usual latency, started now, would meet the latency
// objective counted from an earlier instant.
func (r *request) retryMeetsObjective(now, from time.Duration) bool {
	return milliseconds(now-from)+r.usualLatencyMs() < r.latencyObjectiveMs()
}

// isOrdered reports whether the request has an ordering key and its class is Ordered. A key has no effect in
// other classes.
func (r *request) isOrdered() bool { return r.class.Ordered && r.orderKey != "" }

// engineErrors returns the number of attempts that ended in an error of the engine.
func (r *request) engineErrors() (count int) {
	for _, a := range r.attempts {
		if a.endedInError() {
			count++
		}
	}
	return count
}

// mayHaveRun reports whether an engine may have run any of the attempts.
func (r *request) mayHaveRun() bool { return slices.ContainsFunc(r.attempts, (*attempt).mayHaveRun) }

// streaming reports whether the response of an attempt is being streamed.
func (r *request) streaming() bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.phase == attemptStreaming })
}

// hasAttemptInFlight reports whether any attempt has not ended.
func (r *request) hasAttemptInFlight() bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return !a.ended() })
}
