package lifecycle

import (
	"slices"
	"time"

	"flaxrelay/policy"
)

// Verdict is the kind of a final answer.
type Verdict uint8

// The three final answers.
const (
	VerdictFailed   Verdict = iota // no promise of what ran
	VerdictRejected                // trying again is harmless
	VerdictServed
)

var verdictNames = [...]string{"failed", "rejected", "served"}

func (v Verdict) String() string { return verdictNames[v] }

// Answer is a final answer.
type Response struct {
	Verdict        Verdict
	RetryAfter     time.Duration // with Refused: not before this long from now; 0: unsaid
	DeadlinePassed bool          // the request's time was over
	Forwarded      bool          // it went to an engine at least once
	MayHaveRun     bool          // it may have run, and its class is not safe to repeat
	Result         any           // with Served
	ErrorDetail    any           // of the latest engine error, if there was one
}

// final gives the client its one answer, at once. A second one is passed by.
func (c *Dispatcher) final(query uint64, a Response) {
	r := c.requests[query]
	if r == nil || r.answered {
		return
	}
	a.DeadlinePassed = a.Verdict != VerdictServed && c.clock.Now() >= r.Deadline-c.round
	a.MayHaveRun = c.MayHaveRun(r)
	a.Forwarded, a.ErrorDetail = len(r.tries) > 0, r.detail
	c.stats.Add("requests.completed." + a.Verdict.String() + "." + r.Class)
	if a.DeadlinePassed {
		c.stats.Add("requests.completed-late." + r.Class)
	}
	c.close(r)
	r.Client.Respond(r, a)
	c.forget(r)
}

// Doubt tells whether a request that is open may have run and is not safe to repeat.
func (c *Dispatcher) MayHaveRun(r *Request) bool {
	return c.classes[r.Class].Effect != policy.Idempotent &&
		slices.ContainsFunc(r.tries, func(a *Attempt) bool { return !a.neverRan })
}

// AnswerAll gives every open request its final answer. For the very end of a stop,
// when those who wait would else be left with none: to the module their time is up, and
// it says which may be tried again and when.
func (c *Dispatcher) CompleteAll() {
	for query, r := range c.requests {
		if !r.answered {
			c.tell(policy.DeadlineTimer(query))
		}
		if !r.answered { // a part of its answer was told of: the module would wait
			c.final(query, Response{Verdict: VerdictFailed})
			c.leave(r)
		}
	}
}
