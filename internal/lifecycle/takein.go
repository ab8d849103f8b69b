package lifecycle

// Take accepts a request whose last byte has come. From here on one final answer
// is owed. The answer may be given before Take returns.
func (c *Dispatcher) Accept(r *Request) {
	c.last++
	r.query = c.last // the client's own id may come twice
	r.priority = 1
	c.requests[r.query] = r
	c.unended++
	c.stats.Add("requests.accepted." + r.Class)
	c.admit(r)
}

// Gone tells that the client has stopped waiting: nothing is owed any more.
func (c *Dispatcher) ClientDisconnected(r *Request) {
	if r.answered || c.requests[r.query] != r {
		return
	}
	c.stats.Add("requests.disconnected." + r.Class)
	c.close(r)
	c.leave(r)
}

// close marks that nothing is owed any more. An attempt that still waits for its
// connection must not begin for a client that has gone or has its answer; that needs no
// leave to cancel, as its engine has heard nothing of it.
func (c *Dispatcher) close(r *Request) {
	r.answered = true
	c.unended--
	for _, a := range r.tries {
		if !a.ended && c.links.Withdraw(a) {
			c.EndAttempt(a, StatusNotSent, AttemptReport{})
		}
	}
}
