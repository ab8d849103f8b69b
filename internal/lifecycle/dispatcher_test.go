package lifecycle_test

import (
	"fmt"
	"testing"
	"time"

	"flaxrelay/internal/lifecycle"
	"flaxrelay/internal/metrics"
	"flaxrelay/policy"

	"github.com/google/go-cmp/cmp"
)

func TestDispatcher_GivesExactlyOneResponse(t *testing.T) {
	tests := []struct {
		name  string
		class string
		run   func(f *fixture)
		want  lifecycle.Response
	}{
		{
			"served", readClass, func(f *fixture) { f.end(0, lifecycle.StatusServed) },
			lifecycle.Response{Verdict: lifecycle.VerdictServed, Forwarded: true},
		},
		{"served by a retry", readClass, func(f *fixture) {
			f.end(0, lifecycle.StatusConnectionRefused)
			f.end(1, lifecycle.StatusServed)
		}, lifecycle.Response{Verdict: lifecycle.VerdictServed, Forwarded: true}},
		{
			"a write that may have run is not retried", writeClass,
			func(f *fixture) { f.end(0, lifecycle.StatusConnectionReset) },
			lifecycle.Response{Verdict: lifecycle.VerdictFailed, Forwarded: true, MayHaveHadEffect: true},
		},
		{
			"the statement is rejected", readClass, func(f *fixture) { f.end(0, lifecycle.StatusStatementRejected) },
			lifecycle.Response{Verdict: lifecycle.VerdictFailed, Forwarded: true},
		},
		{"unknown class", "unheard-of", func(*fixture) {}, lifecycle.Response{Verdict: lifecycle.VerdictRejected}},
		{
			"deadline passes", writeClass, func(f *fixture) { f.advance(requestDeadline) },
			lifecycle.Response{
				Verdict: lifecycle.VerdictFailed, DeadlinePassed: true, Forwarded: true, MayHaveHadEffect: true,
			},
		},
		{
			"shutdown completes all", writeClass, func(f *fixture) { f.CompleteAll() },
			lifecycle.Response{Verdict: lifecycle.VerdictFailed, Forwarded: true, MayHaveHadEffect: true},
		},
	}
	for _, tc := range tests {
		for _, mayCancel := range []bool{true, false} { // if false, attempts may outlive the response
			t.Run(fmt.Sprintf("%s, cancel %v", tc.name, mayCancel), func(t *testing.T) {
				f := newFixture(t, func(settings *policy.Settings) { settings.Limits.Cancel = mayCancel })
				r := f.accept(tc.class)
				tc.run(f)
				// Nothing that follows may give a second response.
				for index := range f.started {
					f.end(index, lifecycle.StatusServed)
				}
				f.ClientDisconnected(r)
				f.CompleteAll()
				f.advance(2 * requestDeadline)
				if diff := cmp.Diff([]lifecycle.Response{tc.want}, f.responses); diff != "" {
					t.Errorf("responses (-want +got):\n%s", diff)
				}
				if f.Pending() != 0 || f.released != 1 {
					t.Errorf("%d requests are pending and %d were released, want 0 and 1", f.Pending(), f.released)
				}
			})
		}
	}
}

func TestClientDisconnected_IgnoresARequestThatWasNotAccepted(t *testing.T) {
	f := newFixture(t)
	f.ClientDisconnected(&lifecycle.Request{Class: readClass, Client: f, ObserverData: "observed"})
	if f.Pending() != 0 || f.released != 0 || f.counters.Sum("requests.") != 0 {
		t.Errorf("%d pending, %d released, %d counted; want none", f.Pending(), f.released, f.counters.Sum("requests."))
	}
}

func TestClientDisconnected_GivesUpAttemptsWithoutAResponse(t *testing.T) {
	for _, tc := range []struct {
		name   string
		unsent bool
		status lifecycle.AttemptStatus
	}{
		{"an unsent attempt is withdrawn", true, lifecycle.StatusNotSent},
		{"a sent attempt is cancelled", false, lifecycle.StatusCancelled},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t)
			f.unsent = tc.unsent
			r := f.accept(readClass)
			f.ClientDisconnected(r)
			if !f.attempt(0).Ended() || len(f.responses) != 0 || f.Pending() != 0 || f.released != 1 {
				t.Errorf("ended %v, %d responses, %d pending, %d released; want true, 0, 0, 1",
					f.attempt(0).Ended(), len(f.responses), f.Pending(), f.released)
			}
			if tc.unsent == (len(f.abandoned) > 0) {
				t.Errorf("%d attempts were abandoned", len(f.abandoned))
			}
			f.wantCount(metrics.AttemptsEnded.With(tc.status.String()), 1)
		})
	}
}

func TestUpdateEndpoints_WithdrawsOnlyUnsentAttempts(t *testing.T) {
	delta := func(state policy.EngineState) func(used, other string) []lifecycle.Endpoint {
		return func(used, _ string) []lifecycle.Endpoint { return []lifecycle.Endpoint{endpoint(used, state)} }
	}
	onlyOther := func(_, other string) []lifecycle.Endpoint {
		return []lifecycle.Endpoint{endpoint(other, policy.EngineReady)}
	}
	for _, tc := range []struct {
		name          string
		mode          policy.UpdateMode
		list          func(used, other string) []lifecycle.Endpoint
		unsent        bool
		wantWithdrawn bool
	}{
		{"still ready, unsent", policy.UpdateDelta, delta(policy.EngineReady), true, false},
		{"draining, unsent", policy.UpdateDelta, delta(policy.EngineDraining), true, true},
		{"draining, sent", policy.UpdateDelta, delta(policy.EngineDraining), false, false},
		{"removed, unsent", policy.UpdateDelta, delta(policy.EngineRemoved), true, true},
		{"no longer listed, unsent", policy.UpdateFull, onlyOther, true, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t)
			f.unsent = tc.unsent
			f.accept(readClass)
			used := f.attempt(0).Engine
			other := "e1"
			if used == other {
				other = "e2"
			}
			f.UpdateEndpoints(tc.mode, tc.list(used, other))
			if f.attempt(0).Ended() != tc.wantWithdrawn {
				t.Errorf("ended is %v, want %v", f.attempt(0).Ended(), tc.wantWithdrawn)
			}
			if tc.wantWithdrawn && f.attempt(1).Engine != other {
				t.Errorf("retried at %s, want %s", f.attempt(1).Engine, other)
			}
			if len(f.responses) != 0 || f.Pending() != 1 {
				t.Errorf("%d responses, %d pending; want 0, 1", len(f.responses), f.Pending())
			}
			wantUpdates := tc.list(used, other)
			if tc.mode == policy.UpdateFull {
				wantUpdates = append(wantUpdates, endpoint(used, policy.EngineRemoved))
			}
			if diff := cmp.Diff(wantUpdates, f.updates); diff != "" {
				t.Errorf("updates to the engine client (-want +got):\n%s", diff)
			}
		})
	}
}

func TestEndAttempt_IgnoresALateEnd(t *testing.T) {
	for _, tc := range []struct {
		name      string
		mayCancel bool
		status    lifecycle.AttemptStatus
	}{
		{"after a cancel", true, lifecycle.StatusCancelled},
		{"after a timeout", false, lifecycle.StatusTimeout},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t, func(settings *policy.Settings) { settings.Limits.Cancel = tc.mayCancel })
			f.accept(readClass)
			f.advance(requestDeadline)
			f.wantCount(metrics.AttemptsEnded.With(tc.status.String()), 1)
			if len(f.abandoned) != 1 {
				t.Errorf("%d attempts were abandoned, want 1", len(f.abandoned))
			}
			responses := len(f.responses)
			f.end(0, lifecycle.StatusServed)
			f.wantCount(metrics.AttemptsLateEnd.With(lifecycle.StatusServed.String()), 1)
			f.wantCount(metrics.AttemptsEnded.With(lifecycle.StatusServed.String()), 0)
			if len(f.responses) != responses {
				t.Errorf("the late end gave the response %+v", f.responses[responses:])
			}
		})
	}
}

func TestDedupWindowClosed_LimitsRetriesAfterAPossibleRun(t *testing.T) {
	for _, tc := range []struct {
		class      string
		firstEnds  lifecycle.AttemptStatus
		wantClosed bool
	}{
		{keyedClass, lifecycle.StatusEngineError, true},
		{keyedClass, lifecycle.StatusOverloaded, false},
		{readClass, lifecycle.StatusEngineError, false},
	} {
		t.Run(tc.class+" after "+tc.firstEnds.String(), func(t *testing.T) {
			f := newFixture(t)
			f.accept(tc.class)
			f.end(0, tc.firstEnds)
			const sendMargin = 50 * time.Millisecond
			windowEnd := f.attempt(0).StartedAt + dedupWindow
			if f.attempt(1).DedupWindowClosed(windowEnd - sendMargin - 1) {
				t.Error("closed before the send deadline")
			}
			if got := f.attempt(1).DedupWindowClosed(windowEnd - sendMargin); got != tc.wantClosed {
				t.Errorf("closed at the send deadline is %v, want %v", got, tc.wantClosed)
			}
			if f.attempt(0).DedupWindowClosed(windowEnd) {
				t.Error("the first attempt is limited by the window")
			}
		})
	}
}

func TestDispatcher_RetriesAnAttemptThatEndsWithinItsStart(t *testing.T) {
	f := newFixture(t)
	f.endsAtStart = true
	f.accept(readClass)
	want := []lifecycle.Response{{Verdict: lifecycle.VerdictRejected, Forwarded: true}}
	if diff := cmp.Diff(want, f.responses); diff != "" {
		t.Errorf("responses (-want +got):\n%s", diff)
	}
	f.wantCount(metrics.AttemptsEnded.With(lifecycle.StatusConnectionRefused.String()), int64(len(f.started)))
	if len(f.started) < 2 || f.released != 1 {
		t.Errorf("%d attempts, %d released; want a retry, and 1 released", len(f.started), f.released)
	}
}

func TestDispatcher_ReleasesARequestAfterItsLastAttempt(t *testing.T) {
	f := newFixture(t, func(settings *policy.Settings) { settings.Limits.Cancel = false })
	f.accept(readClass)
	f.advance(requestDeadline - timerGranularity)
	if len(f.responses) != 1 || f.released != 0 {
		t.Errorf("with an attempt in flight: %d responses, %d released; want 1, 0", len(f.responses), f.released)
	}
	f.end(0, lifecycle.StatusServed)
	if f.released != 1 {
		t.Errorf("with no attempt in flight: %d released, want 1", f.released)
	}
}
