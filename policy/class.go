package policy

import "math"

// class is a Class with what is learned of it.
type class struct {
	Class
	answers        int
	latencyMs      float64 // mean latency of an answer
	quickLatencyMs float64 // lowest recent mean latency
	workMs         float64 // mean work of an answer, of all threads
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
		Class: settings, latencyMs: usualMs, quickLatencyMs: usualMs, workMs: usualMs * settings.Threads,
		grantFactor: 1, latencySpread: 1 / overdueDeviations,
	}
}

// relativeEstimate returns an estimate of work over the mean estimate, which it updates.
func (c *class) relativeEstimate(estimateMs float64) float64 {
	c.estimateMs = ewmaSeeded(c.estimateMs, estimateMs, estimateWindow)
	return estimateMs / c.estimateMs
}

// observeLatency records the latency of an answer to a request of the expected work.
func (c *class) observeLatency(latencyMs, expectedWorkMs float64) {
	c.answers++
	deviation := math.Abs(latencyMs*c.workMs/(c.latencyMs*expectedWorkMs) - 1)
	c.latencySpread = ewma(c.latencySpread, min(deviation, badPlanFactor), c.answerWindow())
	c.latencyMs = ewma(c.latencyMs, latencyMs, c.answerWindow())
	c.quickLatencyMs = min(c.quickLatencyMs*quickLatencyGrowth, c.latencyMs)
}

// observeWork records the work of an answer.
func (c *class) observeWork(workMs float64) {
	c.workMs = ewma(c.workMs, workMs, c.answerWindow())
}

// answerWindow grows with the answers, so that the first ones count more.
func (c *class) answerWindow() float64 {
	return float64(min(firstAnswerWindow+c.answers, maxAnswerWindow))
}

// observeMemory records the memory that an answer needed. The grant factor follows
// the quantile grantCoverage of the need over the estimate, by multiplicative steps.
func (c *class) observeMemory(estimateMB, neededMB float64, spilled bool) {
	switch {
	case !(estimateMB > 0):
	case neededMB > c.grantFactor*estimateMB:
		c.grantFactor *= grantIncrease
	case !spilled:
		c.grantFactor *= grantDecrease
	}
}
