package lifecycle

// Client is the sender of a request. It receives exactly one response, or none
// if Dispatcher.ClientDisconnected was called first.
type Client interface {
	Respond(r *Request, response Response)
}

// EngineClient sends attempts to engines. Its methods are called on the
// goroutine that owns the Dispatcher.
type EngineClient interface {
	// Start begins an attempt. The engine client must report the end of the attempt with
	// Dispatcher.EndAttempt. It may do so before Start returns.
	Start(a *Attempt)
	// Abandon gives up an attempt that has not ended. The Dispatcher itself ends the
	// attempt; a later EndAttempt has no effect.
	Abandon(a *Attempt)
	// Withdraw abandons an attempt if its request has not been written yet, and reports
	// whether it did so. If it did, nothing reaches the engine, and the Dispatcher ends
	// the attempt.
	Withdraw(a *Attempt) bool
	// SetPriority changes the priority of an attempt in flight.
	SetPriority(a *Attempt, priority int)
	// UpdateEndpoint announces an endpoint that is new, may have changed, or is removed.
	UpdateEndpoint(e Endpoint)
}
