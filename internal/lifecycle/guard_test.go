package lifecycle_test

import (
	"testing"
	"time"

	"flaxrelay/internal/invariant"
	"flaxrelay/internal/lifecycle"
	"flaxrelay/internal/metrics"
	"flaxrelay/policy"
)

// assertViolations checks how often a rule has been violated so far.
func (f *fixture) assertViolations(rule invariant.Rule, want int64) {
	f.t.Helper()
	if got := f.counters.Get(metrics.InvariantsViolated.With(string(rule))); got != want {
		f.t.Errorf("%s: %d violations, want %d", rule, got, want)
	}
}

// PermitSend permits an attempt that keeps the rules. It counts a violation if an engine client tries to send an
// attempt that it should have given up.
func TestPermitSend_WithholdsAttemptsThatViolateARule(t *testing.T) {
	f := newFixture(t)
	request := f.accept(readClass)
	attempt := f.attempt(0)
	if !f.PermitSend(attempt) {
		t.Error("an attempt that violates no rule is withheld")
	}
	f.UpdateEndpoints(policy.UpdateDelta, []lifecycle.Endpoint{endpoint(attempt.Engine, policy.EngineDraining)})
	if f.PermitSend(attempt) {
		t.Error("sent to a draining engine")
	}
	f.assertViolations(invariant.DrainedEndpoint, 1)
	f.ClientDisconnected(request)
	if f.PermitSend(attempt) {
		t.Error("sent although the client has disconnected")
	}
	f.assertViolations(invariant.SendAfterCompletion, 1)
}

// An attempt whose timeout has passed is withheld. This is not a violation: the attempt's timer is due.
func TestPermitSend_WithholdsLateAttempts(t *testing.T) {
	f := newFixture(t)
	f.accept(readClass)
	f.now += requestDeadline
	if f.PermitSend(f.attempt(0)) {
		t.Error("sent after the deadline")
	}
	f.assertViolations(invariant.SendAfterCompletion, 0)
	if n := f.counters.Get(metrics.AttemptsWithheldLate); n != 1 {
		t.Errorf("%d attempts are counted as withheld, want 1", n)
	}
}

// CheckPending counts a violation for a request that is overdue without a response. A late response to
// the request counts as a second violation.
func TestCheckPending_FindsOverdueRequests(t *testing.T) {
	f := newFixture(t)
	f.accept(readClass)
	f.CheckPending()
	f.assertViolations(invariant.ResponseDeadline, 0)
	f.now += requestDeadline + time.Second
	f.CheckPending()
	f.assertViolations(invariant.ResponseDeadline, 1)
	f.end(0, lifecycle.StatusServed)
	f.assertViolations(invariant.ResponseDeadline, 2)
	f.CheckPending()
	f.assertViolations(invariant.ResponseDeadline, 2)
	f.assertViolations(invariant.ResponseOnce, 0)
}

// After a graceful shutdown has given all final responses, new requests are rejected at once.
func TestAccept_AfterCompleteAllIsRejected(t *testing.T) {
	f := newFixture(t)
	f.CompleteAll()
	f.accept(writeClass)
	if len(f.responses) != 1 || f.responses[0].Verdict != lifecycle.VerdictRejected || len(f.started) != 0 {
		t.Errorf("responses %+v, %d attempts", f.responses, len(f.started))
	}
	if f.Pending() != 0 {
		t.Error("the request is still pending")
	}
}
