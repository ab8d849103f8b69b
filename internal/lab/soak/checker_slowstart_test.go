package soak

import (
	"fmt"
	"testing"
	"time"
)

// addStart records that the engine started at the start of the run, and that this was published at the given time.
func (h *builtHistory) addStart(published time.Duration) {
	h.addChange(engineChange{engine: "s-1", state: stateReady, publishedAt: after(published), startedAt: runStart})
}

// addLookups records attempts at the engine that begin at the same time.
func (h *builtHistory) addLookups(count int, start time.Duration, change ...func(*attempt)) {
	for i := range count {
		h.addAttempt(fmt.Sprintf("lookup-%v-%d", start, i), start, start+40*ms, responseServed, change...)
	}
}

// addLoads records attempts of loads, which have twice the work of lookups.
func (h *builtHistory) addLoads(count int, start time.Duration) {
	for i := range count {
		h.addAttempt(fmt.Sprintf("load-%v-%d", start, i), start, start+80*ms, responseServed, func(a *attempt) {
			a.class = classLoad
			a.workTime = workTimes[classLoad]
		})
	}
}

// The work sent to an engine in slow start within a window must not exceed a limit that grows with the time
// since the engine's start.
func TestCheck_ReportsAnOverloadedEngineInSlowStart(t *testing.T) {
	violated := []string{string(RuleSlowStart)}
	// lookups records a start of the engine and lookups at one time after the start.
	lookups := func(count int, start time.Duration, change ...func(*attempt)) func(h *builtHistory) {
		return func(h *builtHistory) {
			h.addStart(0)
			h.addLookups(count, start, change...)
		}
	}
	inOrder := func(builds ...func(h *builtHistory)) func(h *builtHistory) {
		return func(h *builtHistory) {
			for _, build := range builds {
				build(h)
			}
		}
	}
	addLookups := func(count int, start time.Duration) func(h *builtHistory) {
		return func(h *builtHistory) { h.addLookups(count, start) }
	}
	loads := func(count int) func(h *builtHistory) {
		return func(h *builtHistory) {
			h.addStart(0)
			h.addLoads(count, 0)
		}
	}
	publishedLate := func(h *builtHistory) {
		h.addStart(time.Second)
		h.addLookups(200, 999*ms)
	}
	notAStart := func(h *builtHistory) {
		h.addState(stateReady, 0)
		h.addLookups(200, 0)
	}
	mixed := func(loadCount int) func(h *builtHistory) {
		return func(h *builtHistory) { // mean work of 60 ms
			h.addStart(0)
			h.addLoads(loadCount, 0)
			h.addLookups(loadCount, 0)
		}
	}
	withoutWork := func(h *builtHistory) { // if counted, these attempts would halve the mean
		h.addLookups(52, 0, func(a *attempt) {
			a.engine = "s-2"
			a.workTime = 0
		})
	}
	runCheckerCases(t, []checkerCase{
		{"N 37.5: 51 at once", lookups(51, 0), nil},
		{"N 37.5: 52 at once", lookups(52, 0), violated},
		{"N 18.75: 34 at once", loads(34), nil},
		{"N 18.75: 35 at once", loads(35), violated},
		{"N 25: 21 lookups and 21 loads", mixed(21), nil},
		{"N 25: 22 lookups and 22 loads", mixed(22), violated},
		{"N 81.25 after 4 s: 101 at once", lookups(101, 4*time.Second), nil},
		{"N 81.25 after 4 s: 102 at once", lookups(102, 4*time.Second), violated},
		{"after the slow start", lookups(200, 8*time.Second), nil},
		{"just before the end of the slow start", lookups(200, 8*time.Second-ms), violated},
		{"within a window", inOrder(lookups(26, 0), addLookups(26, 999*ms)), violated},
		{"in two windows", inOrder(lookups(26, 0), addLookups(26, time.Second)), nil},
		{"before the notification", publishedLate, nil},
		{"change that is not a start", notAStart, nil},
		{"delayed", lookups(200, 0, delayed), nil},
		{"another engine", lookups(200, 0, func(a *attempt) { a.engine = "s-2" }), nil},
		{"attempts without work don't count towards the mean", inOrder(lookups(51, 0), withoutWork), nil},
		{"two overloaded windows are one violation", inOrder(lookups(60, 0), addLookups(150, 3*time.Second)), violated},
	})
}

// The limit is N + 2*sqrt(N) + 2, or N + 3*sqrt(N) + 3 if N is below 30.
func TestSlowStartLimit_FollowsTheGrowthOfCapacity(t *testing.T) {
	for _, c := range []struct {
		sinceStart time.Duration
		meanWork   float64
		want       float64
	}{
		{-time.Second, 0.04, 51.74744871391589},
		{0, 0.04, 51.74744871391589},
		{2 * time.Second, 0.04, 76.78603500742244},
		{4 * time.Second, 0.04, 101.27775637731993},
		{8 * time.Second, 0.04, 149.3606797749979},
		{time.Hour, 0.04, 149.3606797749979},
		{0, 0.05, 42.95445115010332},
		{0, 0.0501, 49.355389415416525},
		{0, 0.08, 34.74038105676658},
		{0, 0.0001, 1579.459666924148},
	} {
		got := slowStartLimit(c.sinceStart, c.meanWork)
		if difference := got - c.want; difference > 1e-6 || difference < -1e-6 {
			t.Errorf("%v after the start with a mean of %v s: %v, want %v", c.sinceStart, c.meanWork, got, c.want)
		}
	}
}
