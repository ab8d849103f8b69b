package soak

import (
	"math"
	"time"
)

// slowStartLimit returns the largest number of requests of mean work that may be sent to an engine in one
// overload window while the engine is warming up. The specification defines it as N + 2*sqrt(N) + 2, or as
// N + 3*sqrt(N) + 3 if N is below 30, where N is the overload factor times the number of requests of mean
// work that the engine can process in a window. The terms after N allow for random variation.
//
// The front end's check at run time computes the same limit (overloadLimit in the package policy). This
// function deliberately does not call that code, because the checker would then have the same errors.
func slowStartLimit(sinceStart time.Duration, meanWorkSeconds float64) float64 {
	const (
		minMeanWork        = 1e-3 // seconds
		smallN             = 30
		smallNRootFactor   = 3
		smallNConstantTerm = 3
		rootFactor         = 2
		constantTerm       = 2
	)
	progress := min(max(float64(sinceStart)/float64(warmUpTime), 0), 1)
	capacity := startCapacity + (1-startCapacity)*progress
	n := overloadFactor * capacity * engineCores * overloadWindow.Seconds() / max(meanWorkSeconds, minMeanWork)
	if n < smallN {
		return n + smallNRootFactor*math.Sqrt(n) + smallNConstantTerm
	}
	return n + rootFactor*math.Sqrt(n) + constantTerm
}

// checkSlowStarts checks the overload windows after each published start of an engine. It reports at
// most one window for each start.
func (c *checker) checkSlowStarts() {
	meanWork := c.meanWorkSeconds()
	for _, change := range c.history.changes {
		if !change.startedAt.IsZero() {
			c.checkSlowStart(change, meanWork)
		}
	}
}

func (c *checker) checkSlowStart(start engineChange, meanWorkSeconds float64) {
	sent := c.attemptsInSlowStart(start)
	for i, first := range sent {
		windowEnd := first.beganAt.Add(overloadWindow)
		work := 0.0 // in requests of mean work
		for _, a := range sent[i:] {
			if a.beganAt.Before(windowEnd) {
				work += workTimes[a.class].Seconds() / meanWorkSeconds
			}
		}
		sinceStart := first.beganAt.Sub(start.startedAt)
		if limit := slowStartLimit(sinceStart, meanWorkSeconds); work > limit {
			c.report(RuleSlowStart, "",
				"%s: %.0f requests of mean work in a window from %v after its start, %.0f at most",
				start.engine, work, sinceStart.Round(time.Millisecond), limit)
			return
		}
	}
}

// attemptsInSlowStart returns the attempts that began while the engine was warming up and after all front
// ends had been notified of the engine's start. The attempts are sorted by their start.
func (c *checker) attemptsInSlowStart(start engineChange) []*attempt {
	notifiedAt := c.notifiedAt(start)
	warmUpEnd := start.startedAt.Add(warmUpTime)
	var sent []*attempt
	for _, a := range c.history.attempts {
		if a.engine == start.engine && !a.delayed && !a.beganAt.Before(notifiedAt) && a.beganAt.Before(warmUpEnd) {
			sent = append(sent, a)
		}
	}
	sortByStart(sent)
	return sent
}

// meanWorkSeconds returns the mean work of the attempts with a work time, in seconds of one core. The result is
// at least one millisecond.
func (c *checker) meanWorkSeconds() float64 {
	sum := 0.0
	count := 0
	for _, a := range c.history.attempts {
		if a.workTime > 0 {
			sum += a.workTime.Seconds()
			count++
		}
	}
	return max(sum/float64(max(count, 1)), time.Millisecond.Seconds())
}
