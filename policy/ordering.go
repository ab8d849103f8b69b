package policy

// atHead reports whether all earlier requests of the key have finished and the key is settled. Settling
// doesn't delay retries of the request at the head.
func (b *Balancer) atHead(req *request) bool {
	queue := b.keyQueues.of(req)
	return queue == nil || queue.isHead(req) && (b.now >= queue.blockedUntil || len(req.attempts) > 0)
}

// settle blocks the key after an attempt that may still run on its engine.
func (b *Balancer) settle(req *request) {
	if queue := b.keyQueues.of(req); queue != nil {
		queue.blockUntil(b.now + b.settings.Rules.OrderSettleTime + b.settings.TickInterval)
	}
}

// dispatchQueued admits queued requests that are at the head of their key, in order of arrival.
func (b *Balancer) dispatchQueued() {
	queued := b.queued
	b.queued = nil
	for _, req := range queued {
		switch {
		case req.answered:
		case b.atHead(req):
			b.admit(req)
		default:
			b.queued = append(b.queued, req)
		}
	}
}
