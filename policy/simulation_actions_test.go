package policy_test

import (
	"time"

	"flaxrelay/policy"
)

// actionKind is the kind of an action in the digest and in the counts of the golden file.
type actionKind int

// The kinds of actions. Their order must not change, since the golden file depends on it.
const (
	actionStart actionKind = iota
	actionSetResources
	actionCancel
	actionCheckHealth
	actionReject
	actionFail
	actionSetTimer
	actionSubscribe
	actionForOperators // EngineEjected and EngineReadmitted
	actionOther
	actionKinds
)

// perform adds an action to the digest and simulates its effect.
func (s *simulation) perform(action policy.Action) {
	switch a := action.(type) {
	case policy.StartAttempt:
		s.record(actionStart, a.RequestID, a.Engine, a.Timeout)
		s.send(a)
	case policy.SetResources:
		s.record(actionSetResources, a.RequestID, a.MemoryMB, a.Priority)
	case policy.CancelAttempt:
		s.record(actionCancel, a.RequestID, a.Attempt)
		s.after(time.Millisecond, func() policy.Event { return s.end(a.RequestID, a.Attempt, policy.ResultCancelled) })
	case policy.CheckHealth:
		s.record(actionCheckHealth, a.Engine)
		s.eventAfter(
			2*time.Millisecond,
			policy.HealthChecked{Engine: a.Engine, Result: policy.ResultServed, Load: s.load(s.byID[a.Engine])},
		)
	case policy.Reject:
		s.record(actionReject, a.RequestID, a.RetryAfter, int(a.Reason))
		s.complete(a.RequestID)
	case policy.Fail:
		s.record(actionFail, a.RequestID)
		s.complete(a.RequestID)
	case policy.SetTimer:
		s.record(actionSetTimer, a.After, a.Token)
		s.eventAfter(a.After, policy.TimerFired{Token: a.Token})
	case policy.Subscribe:
		s.record(actionSubscribe)
		s.after(30*time.Millisecond, func() policy.Event { return s.fullList(policy.UpdateFull) })
	case policy.EngineEjected, policy.EngineReadmitted:
		s.record(actionForOperators)
	default:
		s.record(actionOther)
	}
}

// record counts an action and adds it to the digest.
func (s *simulation) record(kind actionKind, values ...any) {
	s.counts[kind]++
	s.digest.write(kind, s.now, values)
}

// complete marks a request as completed.
func (s *simulation) complete(requestID uint64) {
	if req := s.requests[requestID]; req != nil {
		req.completed = true
	}
}
