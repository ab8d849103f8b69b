package lifecycle

import "flaxrelay/policy"

// route carries out one action of the module. Actions on what is over are
// passed by, as the module may not know yet.
func (c *Dispatcher) route(action policy.Action) {
	switch a := action.(type) {
	case policy.StartAttempt:
		if r := c.requests[a.RequestID]; r != nil {
			c.send(r, a)
		}
	case policy.SetResources:
		if r := c.requests[a.RequestID]; r != nil {
			c.grant(r, a)
		}
	case policy.CancelAttempt:
		if r := c.requests[a.RequestID]; r != nil {
			c.cancel(r, a.Attempt)
		}
	case policy.Reject:
		c.stats.Add("rejections." + a.Reason.String())
		c.final(a.RequestID, Response{Verdict: VerdictRejected, RetryAfter: a.RetryAfter})
	case policy.Fail:
		c.final(a.RequestID, Response{Verdict: VerdictFailed})
	case policy.SetTimer:
		c.timers.Schedule(c.clock.Now()+a.After, func() { c.tell(policy.TimerFired{Token: a.Token}) })
	case policy.Log:
		c.log.Info("policy.message", "text", a.Message)
	case policy.CheckHealth, policy.Subscribe:
		// Neither is permitted where this program runs: engines are not probed,
		// and the roster tells unasked.
		c.stats.Add("policy.unsupported-actions")
	}
}
