package lifecycle

import "flaxrelay/policy"

// End ends an attempt. The first call counts; a late answer after a time-out or
// a cancel is passed by.
func (c *Dispatcher) EndAttempt(a *Attempt, end AttemptStatus, rep AttemptReport) {
	if a.ended {
		c.stats.Add("attempts.late-end." + end.String())
		return
	}
	a.ended = true
	a.timer.Stop()
	a.ClientData = nil
	r := a.Request
	r.out--
	switch end.Result() {
	case policy.ResultOverloaded, policy.ResultConnectFailed, policy.ResultNotSent:
		a.neverRan = true
	}
	c.stats.Add("attempts.ended." + end.String())
	if e := c.engines[a.Engine]; e.StartKnown && a.StartedAt < e.StartedAt+c.coldFor {
		c.stats.Add("attempts.ended-warming." + end.String())
	}
	// Of what may have run and is not safe to repeat, the word of an attempt that never
	// ran says nothing: it must not stand for the one in doubt.
	if !a.neverRan || rep.ErrorDetail != nil && !c.MayHaveRun(r) {
		r.detail = rep.ErrorDetail
	}
	if c.learner != nil && r.ObserverData != nil {
		switch elapsed := c.clock.Now() - a.StartedAt; end {
		case StatusServed:
			c.learner.ObserveServed(r, rep, elapsed)
		case StatusTimeout:
			c.learner.ObserveTimeout(r, elapsed)
		}
	}
	switch end {
	case StatusServed:
		c.final(r.query, Response{Verdict: VerdictServed, Result: rep.Result})
	case StatusStatementRejected, StatusResultTooLarge: // another engine would say the same
		c.final(r.query, Response{Verdict: VerdictFailed})
	}
	c.tell(policy.AttemptEnded{
		RequestID: r.query, Attempt: a.n, Result: end.Result(), Elapsed: c.clock.Now() - a.StartedAt,
		Completed: r.answered, Work: rep.Work, MemoryMB: rep.MemoryMB, Load: rep.Load,
	})
	c.forget(r)
}

// Note tells of an attempt that is out.
func (c *Dispatcher) ReportProgress(a *Attempt, kind policy.ProgressKind, value float64) {
	if a.ended {
		return
	}
	c.stats.Add("attempts.progress")
	c.tell(policy.ProgressReported{RequestID: a.Request.query, Attempt: a.n, Kind: kind, Value: value})
}

// forget drops a request that is answered and has nothing out, once no event
// waits: until then the module may still name it, and each send is owed an end.
func (c *Dispatcher) forget(r *Request) {
	switch {
	case !r.answered || r.out > 0:
	case c.busy:
		c.over = append(c.over, r)
	default:
		if _, ok := c.requests[r.query]; ok && c.learner != nil && r.ObserverData != nil {
			c.learner.Release(r)
		}
		delete(c.requests, r.query)
	}
}
