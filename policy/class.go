package policy

import "math"

const (
	firstResponseWindow = 10     // responses that a class's figures are averaged over at first
	maxResponseWindow   = 50     // and later on
	quickLatencyGrowth  = 1.0005 // growth of the quick latency with each response: old minima fade
	maxDeviation        = 5.0    // of one latency at most: an outlier must not hide later overdue attempts
	objectiveToUsual    = 3      // assumed ratio of latency objective to usual latency before any response
)

// class is a Class with what is learned of its requests.
type class struct {
	Class
	responses      int
	latencyMs      float64 // mean latency of a response
	quickLatencyMs float64 // lowest recent mean latency
	workMs         float64 // mean work of a request, of all threads
	latencySpread  float64 // mean deviation of a latency from the expected one, as a share of that
	estimateMs     float64 // mean estimate of the work; 0: none so far
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

// observeEstimate records an estimate of work and returns its ratio to the mean estimate, itself included.
func (c *class) observeEstimate(estimateMs float64) float64 {
	c.estimateMs = ewmaSeeded(c.estimateMs, estimateMs, estimateWindow)
	return estimateMs / c.estimateMs
}

// observeLatency records the latency of a response to a request of the expected work.
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

// window grows with the responses, so that the first ones count more.
func (c *class) window() float64 {
	return float64(min(firstResponseWindow+c.responses, maxResponseWindow))
}

// observeMemory records the memory that a request needed. The grant factor follows
// the quantile grantCoverage of the need over the estimate, by multiplicative steps.
func (c *class) observeMemory(estimateMB, neededMB float64, spilled bool) {
	switch {
	case !(estimateMB > 0): // no estimate, or NaN
	case neededMB > c.grantFactor*estimateMB:
		c.grantFactor *= grantIncrease
	case !spilled:
		c.grantFactor *= grantDecrease
	}
}
