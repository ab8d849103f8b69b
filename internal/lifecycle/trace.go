package lifecycle

// trace logs a step in the life of a request, at level debug, under the request's id. By these
// steps a log tells why each attempt, each retry and each refusal came about. Callers check
// d.tracing first, as the arguments cost something.
func (d *Dispatcher) trace(event string, r *Request, attributes ...any) {
	if r == nil {
		return
	}
	d.logger.Debug(event, append([]any{"request", r.ID}, attributes...)...)
}
