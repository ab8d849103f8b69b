package policy

import (
	"slices"
	"time"
)

// request is a request that has no final answer yet, or whose attempts have not all ended.
type request struct {
	id                uint64
	class             *class
	orderKey          string
	dataset           int64
	deadline          time.Duration
	estimatedMemoryMB float64
	expectedWorkMs    float64 // of all threads
	weight            float64 // threads that it counts as in a backlog
	valueRank         float64 // log2 of priority weight over expected work, relative to the mean
	quotaFactor       float64 // share of a bound that is open to its tenant
	valueFactor       float64 // share of a bound that is open to its value rank
	attempts          []*attempt
	answered          bool // it has its final answer
}

// attempt is one execution of a request on an engine.
type attempt struct {
	request     *request
	index       int // among the request's attempts
	engine      *engine
	sentAt      time.Duration
	lastHeardAt time.Duration // latest progress report; sentAt before the first
	grantedMB   float64
	ended       bool
	mayHaveRun  bool // until its end tells otherwise
	cancelled   bool
	streaming   bool // its answer has begun
	spilled     bool // it has reported a lack of memory
	waiting     bool // its latest progress report said that it waits
	failed      bool // the engine answered with an error
	answerLost  bool // its answer was given up as lost
}

func newRequest(c *class, ev RequestArrived) *request {
	return &request{
		id: ev.RequestID, class: c, orderKey: ev.OrderKey, dataset: ev.Dataset, deadline: ev.Deadline,
		estimatedMemoryMB: ev.EstimatedMemoryMB, expectedWorkMs: c.workMs, weight: c.Threads,
		quotaFactor: 1, valueFactor: 1,
	}
}

// newAttempt returns the request's next attempt. It may have run until its end tells otherwise.
func newAttempt(req *request, e *engine, now time.Duration) *attempt {
	return &attempt{
		request: req, index: len(req.attempts), engine: e, sentAt: now, lastHeardAt: now, mayHaveRun: true,
	}
}

// usualLatencyMs is the latency that the request's class leads to expect for its work.
func (r *request) usualLatencyMs() float64 {
	return r.class.latencyMs * r.expectedWorkMs / r.class.workMs
}

// isOrdered reports whether the request belongs to an ordering key.
func (r *request) isOrdered() bool { return r.class.Ordered && r.orderKey != "" }

// failures counts the attempts that ended in an error of the engine.
func (r *request) failures() (count int) {
	for _, a := range r.attempts {
		if a.failed {
			count++
		}
	}
	return count
}

// hasOpenAttempt reports whether an attempt has not ended.
func (r *request) hasOpenAttempt() bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return !a.ended })
}

// streamOpen reports whether the attempt's answer has begun and not ended.
func (a *attempt) streamOpen() bool { return a.streaming && !a.ended }

// observeSpill records the first report that an attempt lacks memory: the class's grant
// factor rises halfway to the need, and by one step at least.
func (a *attempt) observeSpill(missingMB float64) {
	c, estimateMB := a.request.class, a.request.estimatedMemoryMB
	if a.spilled || !(estimateMB > 0) {
		return
	}
	a.spilled = true
	needed := (a.grantedMB + missingMB) / estimateMB
	c.grantFactor = max(c.grantFactor*grantIncrease, (c.grantFactor+needed)/2)
}
