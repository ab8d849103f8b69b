// Package invariant checks at run time the rules that a front end must never break. The guards
// of the program prevent a violation where they can, and report it here in any case: a counter
// that is not zero is a fault of the program.
package invariant

import (
	"log/slog"

	"flaxrelay/internal/metrics"
)

// Rule names one rule, as the last word of its counter.
type Rule string

// The rules.
const (
	// SendPending: nothing is sent for a request that was answered or whose client has left.
	SendPending Rule = "send-pending"
	// SendReady: nothing is sent to an engine that drains or was removed.
	SendReady Rule = "send-ready"
	// RepeatBounded: a request has no more attempts than the settings permit.
	RepeatBounded Rule = "repeat-bounded"
	// RepeatAlone: a request has one attempt in flight at a time.
	RepeatAlone Rule = "repeat-alone"
	// RepeatSafe: a request that may have run is repeated only where that is safe.
	RepeatSafe Rule = "repeat-safe"
	// CloseAnswered: no connection is closed from this side over an unanswered request.
	CloseAnswered Rule = "close-answered"
	// AnswerInTime: a final response comes no later than the rules grant.
	AnswerInTime Rule = "answer-in-time"
	// AnswerOnce: each request has one final response, or its client has left.
	AnswerOnce Rule = "answer-once"
	// StartWarmup: this front end alone does not overload an engine that is warming up.
	StartWarmup Rule = "start-warmup"
)

// counterPrefix begins the names of the counters.
const counterPrefix = "invariants.violated."

// Checker counts and logs violations. It belongs to the goroutine of the event loop.
type Checker struct {
	counters *metrics.Counters
	log      *slog.Logger
}

// New returns a checker that reports to the counters and the log.
func New(counters *metrics.Counters, log *slog.Logger) *Checker {
	return &Checker{counters: counters, log: log}
}

// Check reports whether the rule holds. Where it doesn't, the violation is counted and logged
// with the attributes.
func (c *Checker) Check(holds bool, rule Rule, attributes ...any) bool {
	if !holds {
		c.counters.Increment(counterPrefix + string(rule))
		c.log.Error("invariant.violated", append([]any{"rule", string(rule)}, attributes...)...)
	}
	return holds
}
