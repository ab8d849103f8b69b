package policy

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// newTestSlowStart returns the slow start of an engine without a known start, at a balancer that handled its first
// event at instant zero. The warm-up takes ten seconds from 0.3 of the capacity; overload windows are two seconds long.
func newTestSlowStart() (state slowStart, rng *rand.Rand) {
	rules := &slowStartRules{Rules: &Rules{
		WarmupCapacity: 0.3, WarmupTime: 10 * time.Second, OverloadFactor: 3, OverloadWindow: 2 * time.Second,
	}}
	return newSlowStart(rules), rand.New(rand.NewPCG(1, 1))
}

func TestSlowStart_CapacityGrowsFromItsStart(t *testing.T) {
	state, rng := newTestSlowStart()
	start := time.Minute
	if got := state.capacityShare(start); got != 1 {
		t.Errorf("capacity share %v of an engine that is not warming up, want 1", got)
	}
	state.onReportedStart(start, start, rng)
	for after, want := range map[time.Duration]float64{0: 0.3, 5 * time.Second: 0.65, 10 * time.Second: 1} {
		if got := state.capacityShare(start + after); math.Abs(got-want) > 1e-9 {
			t.Errorf("capacity share %v after %v, want %v", got, after, want)
		}
	}
	if state.active(start + 10*time.Second) {
		t.Error("still active after the warm-up time")
	}
}

func TestSlowStart_PermitsOneBurstAndThenTheBudget(t *testing.T) {
	state, rng := newTestSlowStart()
	now := time.Minute
	state.onReportedStart(now, now, rng)
	const cost = 0.1 // of a window
	burst := 0
	for state.permits(now, cost) {
		state.charge(now, cost)
		burst++
	}
	if want := int(slowStartBurst / cost); burst != want {
		t.Errorf("%d requests at once, want %d", burst, want)
	}
	later := now + time.Duration(cost*float64(2*time.Second))
	if !state.permits(later, cost) {
		t.Error("the budget of a tenth of a window does not permit a request of that cost")
	}
	state.charge(later, cost)
	if state.permits(later, cost) {
		t.Error("a second request is permitted at once")
	}
}

func TestSlowStart_PermitsNothingWithinAWindowOfTheFirstEvent(t *testing.T) {
	state, rng := newTestSlowStart()
	state.onReportedStart(time.Second, time.Second, rng)
	if state.permits(time.Second, 0.1) {
		t.Error("permitted although an earlier process may have spent the budget")
	}
}

func TestSlowStart_AssumedRestartIsWithdrawnByAnEarlyResponse(t *testing.T) {
	const lostAt = time.Minute
	for _, c := range []struct {
		name          string
		result        Result
		sentAt, now   time.Duration
		wantWithdrawn bool
	}{
		{"sent after the loss, early response", ResultConnectionLost, lostAt + time.Second, lostAt + 1500*msec, true},
		{"sent before the loss", ResultConnectionLost, lostAt - time.Second, lostAt + time.Second, false},
		{"late enough for a restart", ResultConnectionLost, lostAt + time.Second, lostAt + 3*time.Second, false},
		{"connection failed", ResultConnectFailed, lostAt + time.Second, lostAt + 1500*msec, false},
	} {
		state, rng := newTestSlowStart()
		state.assumeRestart(lostAt, c.result, rng)
		if !state.active(lostAt) {
			t.Fatalf("%s: not active after the fault", c.name)
		}
		state.withdrawAssumption(c.now, c.sentAt, lostAt)
		if withdrawn := !state.active(c.now); withdrawn != c.wantWithdrawn {
			t.Errorf("%s: withdrawn is %v, want %v", c.name, withdrawn, c.wantWithdrawn)
		}
	}
}

func TestReportedStart_IgnoresTheOneBeforeTheLatest(t *testing.T) {
	reported := newReportedStart()
	reported.set(time.Second)
	reported.set(2 * time.Second)
	for start, want := range map[time.Duration]bool{time.Second: false, 2 * time.Second: false, 3 * time.Second: true} {
		if got := reported.differs(start); got != want {
			t.Errorf("start at %v: differs is %v, want %v", start, got, want)
		}
	}
}

func TestEstimateStart_TreatsImplausibleStartsAsNow(t *testing.T) {
	rules := &slowStartRules{Rules: &Rules{WarmupTime: 20 * time.Second}}
	const maxStartAge = 5 * time.Second // a quarter of the warm-up time
	for _, c := range []struct {
		name          string
		now, reported time.Duration
		want          time.Duration
	}{
		{"the oldest that is believed", time.Minute, time.Minute - maxStartAge, time.Minute - maxStartAge},
		{"too old to be believed", time.Minute, time.Minute - maxStartAge - 1, time.Minute},
		{"in the future", time.Minute, time.Hour, time.Minute},
		{"old, in the first list", firstListPeriod - 1, -time.Hour, -time.Hour},
		{"in the future, in the first list", firstListPeriod - 1, time.Hour, firstListPeriod - 1},
	} {
		if got := rules.estimateStart(c.now, c.reported); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}
