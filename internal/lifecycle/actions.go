package lifecycle

import (
	"time"

	"flaxrelay/internal/invariant"
	"flaxrelay/policy"
)

const (
	// dedupWindowMargin is how long before the end of a deduplication window a
	// retry is written at the latest, so that it reaches its engine within the window.
	dedupWindowMargin = 50 * time.Millisecond

	// minAttemptTimeout keeps an attempt from timing out before it was started.
	minAttemptTimeout = time.Millisecond
)

// perform carries out one action of the balancer. Actions on released requests
// are ignored, since the balancer may not have been notified of their end yet.
func (d *Dispatcher) perform(action policy.Action) {
	switch action := action.(type) {
	case policy.StartAttempt:
		if r := d.requests[action.RequestID]; r != nil {
			d.startAttempt(r, action)
		}
	case policy.SetResources:
		if r := d.requests[action.RequestID]; r != nil {
			d.setResources(r, action)
		}
	case policy.CancelAttempt:
		if r := d.requests[action.RequestID]; r != nil {
			d.cancelAttempt(r, action.Attempt)
		}
	case policy.Reject:
		d.counters.IncrementByName("rejections." + action.Reason.String())
		if d.tracing {
			d.trace("request.rejected", d.requests[action.RequestID], "reason", action.Reason.String(), "retry_after", action.RetryAfter)
		}
		d.respond(action.RequestID, Response{Verdict: VerdictRejected, RetryAfter: action.RetryAfter})
	case policy.Fail:
		d.respond(action.RequestID, Response{Verdict: VerdictFailed})
	case policy.SetTimer:
		d.timers.Schedule(d.clock.Now()+action.After, func() {
			d.handleEvent(policy.TimerFired{Token: action.Token})
		})
	case policy.ReportOverload:
		d.invariants.Check(false, invariant.SlowStartOverload, "engine", action.Engine, "sent", action.Sent, "limit", action.Limit)
	case policy.EngineEjected:
		d.logger.Info("engine.ejected", "engine", action.Engine, "reason", action.Reason.String(), "in_flight", action.InFlight)
	case policy.EngineReadmitted:
		d.logger.Info("engine.readmitted", "engine", action.Engine)
	case policy.CheckHealth, policy.Subscribe:
		// Health checks are never permitted in this program's deployments, and
		// discovery reports endpoints without a subscription.
		d.counters.IncrementByName("policy.unsupported-actions")
	}
}

// startAttempt starts an attempt of the request. Every attempt ends exactly once,
// in EndAttempt, whatever becomes of its connection.
func (d *Dispatcher) startAttempt(r *Request, action policy.StartAttempt) {
	a := &Attempt{
		Request:      r,
		Engine:       action.Engine,
		Timeout:      action.Timeout,
		StartedAt:    d.clock.Now(),
		MemoryMB:     r.memoryGrantMB,
		Priority:     r.priority,
		index:        len(r.attempts),
		sendDeadline: d.retrySendDeadline(r),
	}
	r.attempts = append(r.attempts, a)
	r.inFlight++
	d.counters.IncrementByName("attempts.started." + r.Class)
	if a.index > 0 {
		d.counters.IncrementByName("attempts.retried." + r.Class)
		d.counters.IncrementByName("attempts.retried-after." + r.attempts[a.index-1].endStatus.String())
	}
	if d.tracing {
		d.trace("attempt.started", r, "attempt", a.index, "engine", a.Engine, "timeout", a.Timeout)
	}
	// Where the request is completed the balancer has not been notified yet that the client
	// disconnected.
	if r.completed() || !d.permitStart(a) {
		d.EndAttempt(a, StatusNotSent, AttemptReport{})
		return
	}
	a.timeoutTimer = d.timers.Schedule(a.StartedAt+max(a.Timeout, minAttemptTimeout), func() {
		d.engineClient.Abandon(a)
		d.EndAttempt(a, StatusTimeout, AttemptReport{})
	})
	d.engineClient.Start(a)
}

// retrySendDeadline returns the instant at which a request with an idempotency
// key may no longer be written again, or 0 if none of its attempts may have run.
// The balancer observes the deduplication window too, but does not know how long
// an attempt waits for its connection.
func (d *Dispatcher) retrySendDeadline(r *Request) time.Duration {
	class := d.classes[r.Class]
	if class.Effect != policy.IdempotentByKey {
		return 0
	}
	for _, a := range r.attempts {
		if a.state != attemptNeverRan {
			return max(a.StartedAt+class.DedupWindow-dedupWindowMargin, 1) // 0 would mean none
		}
	}
	return 0
}

// setResources sets the memory grant of the next attempts, and the priority of
// these and of the attempts in flight.
func (d *Dispatcher) setResources(r *Request, action policy.SetResources) {
	r.memoryGrantMB = action.MemoryMB
	if r.priority == action.Priority {
		return
	}
	r.priority = action.Priority
	for _, a := range r.attempts {
		if !a.Ended() {
			a.Priority = action.Priority
			d.engineClient.SetPriority(a, action.Priority)
		}
	}
}

// cancelAttempt gives up one attempt. One that does not exist or has ended is
// ignored, since the balancer may not have been notified of its end yet.
func (d *Dispatcher) cancelAttempt(r *Request, index int) {
	if index < 0 || index >= len(r.attempts) || r.attempts[index].Ended() {
		return
	}
	a := r.attempts[index]
	d.engineClient.Abandon(a)
	d.EndAttempt(a, StatusCancelled, AttemptReport{})
}
