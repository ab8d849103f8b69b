// Package invariant counts and logs violations of the rules that a front end must never break. Other
// packages check the rules and prevent a violation if they can. Any violation is a bug in this
// program.
package invariant

import (
	"log/slog"

	"flaxrelay/internal/logevent"
	"flaxrelay/internal/metrics"
)

// Rule is the name of a rule. The name of the rule's counter ends with it.
type Rule string

// The rules.
const (
	// SendAfterCompletion: nothing is sent for a request that has its response or whose client has
	// disconnected.
	SendAfterCompletion Rule = "send-after-completion"
	// DrainedEndpoint: nothing is sent to an engine that is draining or removed.
	DrainedEndpoint Rule = "drained-endpoint"
	// RetryLimit: no request has more attempts than the settings permit.
	RetryLimit Rule = "retry-limit"
	// SingleInFlight: a request has one attempt in flight at a time, unless the settings permit hedged
	// requests.
	SingleInFlight Rule = "single-in-flight"
	// RetryIdempotency: a request that may have run is retried only if it is idempotent.
	RetryIdempotency Rule = "retry-idempotency"
	// ResponseDropped: this program does not close a client connection whose request is pending.
	ResponseDropped Rule = "response-dropped"
	// ResponseDeadline: a response is given no later than the settings permit.
	ResponseDeadline Rule = "response-deadline"
	// ResponseOnce: each request gets exactly one response, unless its client disconnects first.
	ResponseOnce Rule = "response-once"
	// SlowStartOverload: this front end alone does not overload an engine that is warming up.
	SlowStartOverload Rule = "slow-start-overload"
)

// Checker counts and logs violations. It is not safe for concurrent use; the goroutine of the event loop
// owns it.
type Checker struct {
	counters *metrics.Counters
	log      *slog.Logger
}

// New returns a checker that reports violations to the counters and the log.
func New(counters *metrics.Counters, log *slog.Logger) *Checker {
	return &Checker{counters: counters, log: log}
}

// Check returns holds. If holds is false, Check counts a violation of the rule and logs the violation with
// the fields.
func (c *Checker) Check(holds bool, rule Rule, fields ...slog.Attr) bool {
	if !holds {
		c.counters.Increment(metrics.InvariantsViolated.With(string(rule)))
		logevent.InvariantViolated.Log(c.log, append([]slog.Attr{slog.String("rule", string(rule))}, fields...)...)
	}
	return holds
}
