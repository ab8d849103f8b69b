package soak

// Rule is the name of a condition that must hold in every run. If the front end checks the same condition
// at run time as an invariant, the rule has the name of the invariant (docs/glossary.md).
type Rule string

// The rules that the checker applies to the history after the run.
const (
	// RuleResponse: every request gets one complete response in time, unless its client has
	// disconnected or its front end was killed.
	RuleResponse Rule = "response-deadline"
	// RuleRetryLimit: a request has at most three attempts.
	RuleRetryLimit Rule = "retry-limit"
	// RuleSingleInFlight: at most one attempt of a request is in flight at a time.
	RuleSingleInFlight Rule = "single-in-flight"
	// RuleRetryIdempotency: a request that is not idempotent runs at most once.
	RuleRetryIdempotency Rule = "retry-idempotency"
	// RuleSendAfterDisconnect: no attempt begins for a client that has disconnected.
	RuleSendAfterDisconnect Rule = "send-after-completion"
	// RuleRemainingTime: an engine is given no more time than remains for the client.
	RuleRemainingTime Rule = "remaining-time"
	// RuleDrainedEndpoint: no attempt begins at an engine that is draining or removed.
	RuleDrainedEndpoint Rule = "drained-endpoint"
	// RuleSlowStart: an engine that is warming up is not overloaded.
	RuleSlowStart Rule = "slow-start-overload"
)

// The rules that clients apply to the responses that they receive.
const (
	// RuleCompleteResult: a served response contains the complete result of an engine.
	RuleCompleteResult Rule = "complete-result"
	// RuleRetryAfter: a rejection has a Retry-After if the settings require one.
	RuleRetryAfter Rule = "retry-after"
	// RuleMalformedRequest: a front end responds to a malformed request or closes the connection.
	RuleMalformedRequest Rule = "malformed-request"
)

// The rules of a front end's process and its log.
const (
	// RuleProcess: a front end serves until it is signalled to exit, and then exits in time. Errors of
	// the test environment are reported under this rule too.
	RuleProcess Rule = "process-lifetime"
	// RuleInvariant: a front end reports no violation of its invariants and does not crash.
	RuleInvariant Rule = "invariant"
)

// Violation describes how a rule was violated.
type Violation struct {
	Rule    Rule
	Request string // id; "": the violation does not concern a single request
	Detail  string
}

// String describes the violation in one line.
func (v Violation) String() string {
	if v.Request == "" {
		return string(v.Rule) + ": " + v.Detail
	}
	return string(v.Rule) + ": request " + v.Request + ": " + v.Detail
}
