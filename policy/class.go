package policy

import "math"

const (
	firstResponseWindow = 10     // responses over which a class's values are averaged at first
	maxResponseWindow   = 50     // responses over which these values are averaged later on
	quickLatencyGrowth  = 1.0005 // growth of the quick latency with each response, so that old minima expire
	maxDeviation        = 5.0    // a greater deviation would hide later overdue attempts, and counts as this
	objectiveToUsual    = 3      // assumed ratio of latency objective to usual latency before any response
)

// class is a Class with what the balancer has learned about its requests.
type class struct {
	Class
	responses      int
	latencyMs      float64 // mean latency of a response
	quickLatencyMs float64 // lowest recent mean latency
	workMs         float64 // mean work of a request, summed over its threads
	latencySpread  float64 // mean deviation from the expected latency, as a share of that latency
	estimateMs     float64 // mean estimate of the work; 0: no estimate so far
	grantFactor    float64 // memory to grant, as a multiple of the estimate
}

func newClass(settings Class) *class {
	if settings.Threads <= 0 {
		settings.Threads = 1
	}
	usualMs := milliseconds(settings.LatencyObjective) / objectiveToUsual
	return &class{
		Class:          settings,
		latencyMs:      usualMs,
		quickLatencyMs: usualMs,
		workMs:         usualMs * settings.Threads,
		grantFactor:    1,
		latencySpread:  1 / overdueDeviations, // overdue at twice the usual latency at first
	}
}

// observeEstimate updates the mean estimate of work with an estimate. It returns the ratio of this estimate
// to the updated mean.
func (c *class) observeEstimate(estimateMs float64) float64 {
	c.estimateMs = ewmaSeeded(c.estimateMs, estimateMs, estimateWindow)
	return estimateMs / c.estimateMs
}

// observeLatency records the latency of a response to a request that was expected to need the given work.
func (c *class) observeLatency(latencyMs, expectedWorkMs float64) {
	c.responses++
	deviation := math.Abs(latencyMs*c.workMs/(c.latencyMs*expectedWorkMs) - 1)
	c.latencySpread = ewma(c.latencySpread, min(deviation, maxDeviation), c.window())
	c.latencyMs = ewma(c.latencyMs, latencyMs, c.window())
	c.quickLatencyMs = min(c.quickLatencyMs*quickLatencyGrowth, c.latencyMs)
}

// observeWork records the work of a request that was served.
func (c *class) observeWork(workMs float64) {
	c.workMs = ewma(c.workMs, workMs, c.window())
}

// window returns the number of responses to average over. It grows with the number of responses, so that the
// first responses count more.
func (c *class) window() float64 {
	return float64(min(firstResponseWindow+c.responses, maxResponseWindow))
}

// observeMemory records the memory that a request needed. It changes the grant factor in multiplicative
// steps, so that the factor follows the grantCoverage quantile of the ratio of needed to estimated memory.
func (c *class) observeMemory(estimateMB, neededMB float64, spilled bool) {
	switch {
	case !(estimateMB > 0): // there is no estimate, or it is NaN
	case neededMB > c.grantFactor*estimateMB:
		c.grantFactor *= grantIncrease
	case !spilled:
		c.grantFactor *= grantDecrease
	}
}
