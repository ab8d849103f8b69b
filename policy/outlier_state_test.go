package policy

import (
	"testing"
	"time"
)

func TestEjection_FollowsItsDiagram(t *testing.T) {
	const now, interval = time.Minute, 2 * time.Second
	silent := func(o *outlierState) { o.eject(ejectedUntilActive, now, interval) }
	failing := func(o *outlierState) { o.eject(ejectedUntilServed, now, interval) }
	active := func(o *outlierState) { o.readmit() }
	served := func(o *outlierState) { o.recordServed(now) }
	restarted := func(o *outlierState) { o.reset() }
	for _, c := range []struct {
		name   string
		events []func(*outlierState)
		want   ejection
	}{
		{"silent", []func(*outlierState){silent}, ejectedUntilActive},
		{"silent, then active", []func(*outlierState){silent, active}, notEjected},
		{"failing, then active", []func(*outlierState){failing, active}, ejectedUntilServed},
		{"failing, then served", []func(*outlierState){failing, served}, ejectedUntilActive},
		{"failing, then served and active", []func(*outlierState){failing, served, active}, notEjected},
		{"silent, then failing", []func(*outlierState){silent, failing}, ejectedUntilServed},
		{"failing, then silent", []func(*outlierState){failing, silent}, ejectedUntilServed},
		{"failing, then restarted", []func(*outlierState){failing, restarted}, notEjected},
	} {
		var state outlierState
		for _, event := range c.events {
			event(&state)
		}
		if state.ejection != c.want {
			t.Errorf("%s: state %d, want %d", c.name, state.ejection, c.want)
		}
	}
}

func TestEject_SetsProbationOnceAndReportsTheChange(t *testing.T) {
	var state outlierState
	if !state.eject(ejectedUntilActive, time.Second, time.Second) {
		t.Error("the first ejection was not reported as a change")
	}
	if state.eject(ejectedUntilServed, time.Minute, time.Second) {
		t.Error("the second ejection was reported as a change")
	}
	if want := 2 * time.Second; state.probationAt != want {
		t.Errorf("probation at %v, want %v", state.probationAt, want)
	}
}

func TestRecordFault_ExceedsTheThresholdAfterTwoConnectionFaults(t *testing.T) {
	var state outlierState
	if state.recordFault(connectionFaultWeight) {
		t.Error("one fault exceeds the threshold")
	}
	if !state.recordFault(connectionFaultWeight) {
		t.Errorf("two faults in a row do not exceed the threshold, at a rate of %v", state.faultRate)
	}
}

func TestRecordConnectionFault_CountsConnectionsThatBreakTogetherOnce(t *testing.T) {
	var state outlierState
	now := time.Minute
	if !state.recordConnectionFault(now, ResultConnectionLost) {
		t.Error("the first broken connection does not count")
	}
	if state.recordConnectionFault(now+tickPeriod-1, ResultConnectionLost) {
		t.Error("a connection that breaks within the same tick period counts")
	}
	if !state.recordConnectionFault(now+tickPeriod, ResultConnectFailed) {
		t.Error("a failure to connect does not count")
	}
	if !state.recordConnectionFault(now+2*tickPeriod, ResultConnectionLost) {
		t.Error("a connection that breaks a tick period later does not count")
	}
}

func TestSilenceDetector_DoesNotCountItsOwnPauses(t *testing.T) {
	detector := newSilenceDetector(&Settings{ProgressInterval: 500 * msec})
	now := time.Minute
	detector.onTick(now)
	detector.onTick(now + tickPeriod)
	a := &attempt{lastHeardAt: now}
	if got := detector.attemptSilence(a, now+tickPeriod); got != tickPeriod {
		t.Errorf("silent for %v, want %v", got, tickPeriod)
	}
	resumed := now + 10*time.Second
	detector.onTick(resumed)
	if got := detector.attemptSilence(a, resumed+tickPeriod); got != tickPeriod {
		t.Errorf("silent for %v since this process resumed, want %v", got, tickPeriod)
	}
}

func TestLostResponses_StallAClassAfterTwoInARow(t *testing.T) {
	e := newEngine("e", &slowStartRules{Rules: &Rules{}})
	lookup, report := &class{}, &class{}
	until := time.Minute
	e.lostResponses.add(lookup, until)
	if e.classStalled(lookup, 0) {
		t.Error("the class is stalled after one lost response")
	}
	e.lostResponses.add(lookup, until)
	if !e.classStalled(lookup, until-1) || e.classStalled(report, until-1) {
		t.Error("after two lost responses only their class should be stalled")
	}
	if e.classStalled(lookup, until) {
		t.Error("the class is still stalled at the end of its time, with nothing in flight")
	}
	e.lostResponses.reset(lookup)
	if e.classStalled(lookup, until-1) {
		t.Error("the class is stalled after its count was reset")
	}
}
