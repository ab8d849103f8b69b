package lifecycle

import (
	"time"

	"flaxrelay/internal/timerqueue"
	"flaxrelay/policy"
)

// Attempt is one execution of a request at one engine. The exported fields are
// for the engine client; all others belong to the Dispatcher.
type Attempt struct {
	Request    *Request
	Engine     string        // ID of the engine; a later engine may reuse the address of a removed one
	Timeout    time.Duration // since StartedAt
	StartedAt  time.Duration
	MemoryMB   float64 // memory grant; 0: the engine's own choice
	Priority   int
	ClientData any // opaque, for the engine client; cleared at the end

	index        int // in Request.attempts
	state        attemptState
	endStatus    AttemptStatus // once it has ended
	sendDeadline time.Duration // see DedupWindowClosed; 0: none
	timeoutTimer *timerqueue.Timer
}

// attemptState is the state of an attempt. An attempt leaves attemptInFlight exactly once.
type attemptState uint8

const (
	attemptInFlight   attemptState = iota
	attemptMayHaveRun              // ended; its engine may have run it
	attemptNeverRan                // ended in a way that proves that its engine did not run it
)

// AttemptReport is what an engine reported at the end of an attempt.
type AttemptReport struct {
	Result      any           // the complete result, for front ends of the same protocol
	Work        time.Duration // that the query needed; 0: unknown
	MemoryMB    float64       // that the query needed; 0: unknown
	Load        policy.LoadReport
	ErrorDetail any // of an engine error, for front ends of the same protocol
}

// Ended reports whether the attempt has ended.
func (a *Attempt) Ended() bool { return a.state != attemptInFlight }

// DedupWindowClosed reports whether the attempt may no longer be written: an earlier
// attempt may have run, and the window in which engines drop duplicates of its
// idempotency key is about to end. Engine clients must check it before they write.
func (a *Attempt) DedupWindowClosed(now time.Duration) bool {
	return a.sendDeadline > 0 && now >= a.sendDeadline
}

// EndAttempt ends an attempt. Only the first call for an attempt counts: an
// engine's answer may arrive after the attempt timed out or was cancelled.
func (d *Dispatcher) EndAttempt(a *Attempt, status AttemptStatus, report AttemptReport) {
	if a.Ended() {
		d.counters.IncrementByName("attempts.late-end." + status.String())
		return
	}
	r := a.Request
	r.inFlight--
	a.state, a.endStatus = stateAfter(status), status
	if d.tracing {
		d.trace("attempt.ended", r, "attempt", a.index, "engine", a.Engine, "status", status.String(), "elapsed", d.clock.Now()-a.StartedAt)
	}
	a.timeoutTimer.Stop()
	a.ClientData = nil
	d.countEnd(a, status)
	// The final response must not carry the error of an attempt that never ran if
	// another one may have run and the request is not idempotent: it would hide that.
	if a.state == attemptMayHaveRun || report.ErrorDetail != nil && !d.MayHaveRun(r) {
		r.lastErrorDetail = report.ErrorDetail
	}
	d.observeCost(a, status, report)
	switch status {
	case StatusServed:
		d.respond(r.policyID, Response{Verdict: VerdictServed, Result: report.Result})
	case StatusStatementRejected, StatusResultTooLarge: // any other engine would fail likewise
		d.respond(r.policyID, Response{Verdict: VerdictFailed})
	}
	d.handleEvent(policy.AttemptEnded{
		RequestID: r.policyID,
		Attempt:   a.index,
		Result:    status.Result(),
		Elapsed:   d.clock.Now() - a.StartedAt,
		Completed: r.completed(),
		Work:      report.Work,
		MemoryMB:  report.MemoryMB,
		Load:      report.Load,
	})
	d.releaseIfIdle(r)
}

// stateAfter returns the state of an attempt that has ended with the status.
func stateAfter(status AttemptStatus) attemptState {
	switch status.Result() {
	case policy.ResultOverloaded, policy.ResultConnectFailed, policy.ResultNotSent:
		return attemptNeverRan
	default:
		return attemptMayHaveRun
	}
}

// countEnd counts the end of an attempt, and separately those at engines that were warming up.
func (d *Dispatcher) countEnd(a *Attempt, status AttemptStatus) {
	d.counters.IncrementByName("attempts.ended." + status.String())
	engine := d.endpoints[a.Engine]
	if engine.StartKnown && a.StartedAt < engine.StartedAt+d.warmupTime {
		d.counters.IncrementByName("attempts.ended-warming." + status.String())
	}
}

// ReportProgress passes an engine's progress report of an attempt in flight to the balancer.
func (d *Dispatcher) ReportProgress(a *Attempt, kind policy.ProgressKind, value float64) {
	if a.Ended() {
		return
	}
	d.counters.IncrementByName("attempts.progress")
	d.handleEvent(policy.ProgressReported{RequestID: a.Request.policyID, Attempt: a.index, Kind: kind, Value: value})
}
