package lifecycle

import "flaxrelay/policy"

// admit puts a request before the module, which sends or refuses it.
func (c *Dispatcher) admit(r *Request) {
	c.tell(policy.RequestArrived{
		RequestID: r.query, Class: r.Class, Tenant: r.Tenant, OrderKey: r.OrderKey, Dataset: r.Dataset, Deadline: r.Deadline,
		EstimatedWork: r.EstimatedWork, EstimatedMemoryMB: r.EstimatedMemoryMB, ClientRetry: r.ClientRetry,
	})
}

// leave tells the module that a client is gone; it gives up what is out.
func (c *Dispatcher) leave(r *Request) {
	c.tell(policy.ClientDisconnected{RequestID: r.query})
	c.forget(r)
}
