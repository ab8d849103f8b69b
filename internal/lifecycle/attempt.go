package lifecycle

import (
	"time"

	"flaxrelay/internal/metrics"
	"flaxrelay/internal/timerqueue"
	"flaxrelay/policy"
)

const (
	// dedupWindowMargin is the least time between the writing of a retry and the end of its
	// deduplication window, so that the retry reaches its engine within the window.
	dedupWindowMargin = 50 * time.Millisecond

	// minAttemptTimeout prevents an attempt from timing out at the instant at which it is started.
	minAttemptTimeout = time.Millisecond
)

// Attempt is one execution of a request at one engine. The engine client reads the
// exported fields and sets only ClientData. The Dispatcher sets all other fields.
type Attempt struct {
	Request    *Request
	Engine     string        // ID, not the address: a new engine may reuse the address of a removed one
	Timeout    time.Duration // counted from StartedAt
	StartedAt  time.Duration
	MemoryMB   float64 // memory grant; 0: the engine decides
	Priority   int
	ClientData any // opaque, for the engine client; cleared when the attempt ends

	index        int // in Request.attempts
	state        attemptState
	endStatus    AttemptStatus // set when the attempt ends
	sendDeadline time.Duration // see DedupWindowClosed; 0: none
	timeoutTimer *timerqueue.Timer
}

// attemptState is the state of an attempt. Each attempt leaves attemptInFlight exactly once:
//
//	attemptInFlight:  EndAttempt, with a status that proves that the attempt did not run -> attemptNeverRan
//	attemptInFlight:  EndAttempt, with any other status -> attemptMayHaveRun
//
// A timeout, a cancellation and a withdrawal end an attempt without a response from its engine. A
// response that arrives later has no effect.
type attemptState uint8

const (
	attemptInFlight   attemptState = iota
	attemptMayHaveRun              // ended; its engine may have run it
	attemptNeverRan                // ended with a status that proves that its engine did not run it
)

// AttemptReport is what an engine reported at the end of an attempt.
type AttemptReport struct {
	Result      any           // the complete result, for front ends of the same protocol
	Work        time.Duration // work that the query needed; 0: unknown
	MemoryMB    float64       // memory that the query needed; 0: unknown
	Load        policy.LoadReport
	ErrorDetail any // details of an engine error, for front ends of the same protocol
}

// Ended reports whether EndAttempt was called for the attempt. The engine may still run the attempt.
func (a *Attempt) Ended() bool { return a.state != attemptInFlight }

// DedupWindowClosed reports whether the attempt may no longer be written: an earlier
// attempt may have run, and the window in which engines drop duplicates of the
// request's idempotency key is about to end. Dispatcher.PermitSend checks this.
func (a *Attempt) DedupWindowClosed(now time.Duration) bool {
	return a.sendDeadline > 0 && now >= a.sendDeadline
}

// timeoutAt returns the instant at which the attempt times out.
func (a *Attempt) timeoutAt() time.Duration {
	return a.StartedAt + max(a.Timeout, minAttemptTimeout)
}

// end sets the final state and status of the attempt, and stops its timeout.
func (a *Attempt) end(status AttemptStatus) {
	a.Request.inFlight--
	a.state = stateAfter(status)
	a.endStatus = status
	a.timeoutTimer.Stop()
	a.ClientData = nil
}

// stateAfter returns the state of an attempt that has ended with the status.
func stateAfter(status AttemptStatus) attemptState {
	if status.Result().MayHaveRun() {
		return attemptMayHaveRun
	}
	return attemptNeverRan
}

// addAttempt adds the next attempt to the request and returns it.
func (r *Request) addAttempt(action policy.StartAttempt, class policy.Class, now time.Duration) *Attempt {
	a := &Attempt{
		Request:      r,
		Engine:       action.Engine,
		Timeout:      action.Timeout,
		StartedAt:    now,
		MemoryMB:     r.memoryGrantMB,
		Priority:     r.priority,
		index:        len(r.attempts),
		sendDeadline: retrySendDeadline(r, class),
	}
	r.attempts = append(r.attempts, a)
	r.inFlight++
	return a
}

// retrySendDeadline returns the instant from which no further attempt of a request may be written. It returns 0 if
// the request's class is not idempotent by key, or if no engine can have run any of the request's attempts. The
// balancer applies the deduplication window too, but does not know how long an attempt waits for its connection.
func retrySendDeadline(r *Request, class policy.Class) time.Duration {
	first := r.firstPossibleRun()
	if class.Effect != policy.IdempotentByKey || first == nil {
		return 0
	}
	return max(first.StartedAt+class.DedupWindow-dedupWindowMargin, 1) // 0 would mean no limit
}

// startAttempt starts an attempt of the request. Every attempt ends exactly once, in EndAttempt.
func (d *Dispatcher) startAttempt(r *Request, action policy.StartAttempt) {
	attempt := r.addAttempt(action, d.classes[r.Class], d.clock.Now())
	d.telemetry.attemptStarted(attempt)
	// If the request is completed, the client has disconnected and the balancer has not been notified yet.
	if r.completed() || !d.guard.permitStart(attempt, d.classes[r.Class].Effect) {
		d.EndAttempt(attempt, StatusNotSent, AttemptReport{})
		return
	}
	attempt.timeoutTimer = d.timers.Schedule(attempt.timeoutAt(), func() {
		d.engineClient.Abandon(attempt)
		d.EndAttempt(attempt, StatusTimeout, AttemptReport{})
	})
	d.engineClient.Start(attempt)
}

// EndAttempt ends an attempt. Only the first call for an attempt has an effect: an
// engine's response may arrive after the attempt timed out or was cancelled.
func (d *Dispatcher) EndAttempt(attempt *Attempt, status AttemptStatus, report AttemptReport) {
	if attempt.Ended() {
		d.counters.Increment(metrics.AttemptsLateEnd.With(status.String()))
		return
	}
	request := attempt.Request
	attempt.end(status)
	elapsed := d.clock.Now() - attempt.StartedAt
	d.telemetry.attemptEnded(attempt, elapsed, d.endpoints.warmingUp(attempt.Engine, attempt.StartedAt))
	request.recordErrorDetail(attempt, report.ErrorDetail, d.MayHaveHadEffect(request))
	d.costs.observe(attempt, status, report, elapsed)
	switch status {
	case StatusServed:
		d.respond(request.policyID, Response{Verdict: VerdictServed, Result: report.Result})
	case StatusStatementRejected, StatusResultTooLarge: // any other engine would fail too
		d.respond(request.policyID, Response{Verdict: VerdictFailed})
	default: // the balancer decides on a retry
	}
	d.handleEvent(policy.AttemptEnded{
		RequestID: request.policyID,
		Attempt:   attempt.index,
		Result:    status.Result(),
		Elapsed:   d.clock.Now() - attempt.StartedAt, // includes the time that respond took
		Completed: request.completed(),
		Work:      report.Work,
		MemoryMB:  report.MemoryMB,
		Load:      report.Load,
	})
	d.releaseIfIdle(request)
}

// ReportProgress passes an engine's progress report of an attempt in flight to the balancer.
func (d *Dispatcher) ReportProgress(a *Attempt, kind policy.ProgressKind, value float64) {
	if a.Ended() {
		return
	}
	d.counters.Increment(metrics.AttemptsProgress)
	d.handleEvent(policy.ProgressReported{RequestID: a.Request.policyID, Attempt: a.index, Kind: kind, Value: value})
}
