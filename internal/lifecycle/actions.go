package lifecycle

import (
	"log/slog"

	"flaxrelay/internal/invariant"
	"flaxrelay/internal/metrics"
	"flaxrelay/policy"
)

// perform carries out one action of the balancer. An action on a released request is
// ignored, since the balancer may not have been notified yet that the request has ended.
func (d *Dispatcher) perform(action policy.Action) {
	switch action := action.(type) {
	case policy.StartAttempt:
		if r := d.requests.byID[action.RequestID]; r != nil {
			d.startAttempt(r, action)
		}
	case policy.SetResources:
		if r := d.requests.byID[action.RequestID]; r != nil {
			r.setResources(action, d.engineClient)
		}
	case policy.CancelAttempt:
		// The action is ignored if the attempt has ended: the balancer may not have been notified of the end yet.
		if a := d.requests.attempt(action.RequestID, action.Attempt); a != nil {
			d.engineClient.Abandon(a)
			d.EndAttempt(a, StatusCancelled, AttemptReport{})
		}
	case policy.Reject:
		d.telemetry.requestRejected(d.requests.byID[action.RequestID], action)
		d.respond(action.RequestID, Response{Verdict: VerdictRejected, RetryAfter: action.RetryAfter})
	case policy.Fail:
		d.respond(action.RequestID, Response{Verdict: VerdictFailed})
	case policy.SetTimer:
		d.timers.Schedule(d.clock.Now()+action.After, func() {
			d.handleEvent(policy.TimerFired{Token: action.Token})
		})
	case policy.ReportOverload:
		d.guard.invariants.Check(false, invariant.SlowStartOverload, slog.String("engine", action.Engine),
			slog.Float64("sent", action.Sent), slog.Float64("limit", action.Limit))
	case policy.EngineEjected:
		d.telemetry.engineEjected(action)
	case policy.EngineReadmitted:
		d.telemetry.engineReadmitted(action)
	case policy.CheckHealth, policy.Subscribe:
		// Health checks are never permitted in this program's deployments, and
		// discovery reports endpoints without a subscription.
		d.counters.Increment(metrics.PolicyUnsupportedActions)
	}
}

// setResources sets the memory grant of future attempts, and the priority of
// future attempts and of attempts in flight.
func (r *Request) setResources(action policy.SetResources, engineClient EngineClient) {
	r.memoryGrantMB = action.MemoryMB
	if r.priority == action.Priority {
		return
	}
	r.priority = action.Priority
	for _, a := range r.attempts {
		if !a.Ended() {
			a.Priority = action.Priority
			engineClient.SetPriority(a, action.Priority)
		}
	}
}
