package policy

import (
	"maps"
	"time"
)

// orderedRequests runs the requests of one ordering key one at a time, in order of arrival. After an attempt
// that may still run on its engine, it blocks the key until that attempt must have ended.
type orderedRequests struct {
	settleTime time.Duration // how long a key is blocked
	queues     keyQueues     // of all unfinished requests that have an ordering key
	waiting    []*request    // not admitted yet, in order of arrival
}

func newOrderedRequests(settleTime time.Duration) orderedRequests {
	return orderedRequests{settleTime: settleTime, queues: keyQueues{}}
}

// atHead reports whether all earlier requests of the ordering key have finished and the key is not blocked.
// A blocked key does not delay retries of the request at its head. A request without a key never waits.
func (o *orderedRequests) atHead(req *request, now time.Duration) bool {
	queue := o.queues.of(req)
	return queue == nil || queue.isHead(req) && (now >= queue.blockedUntil || len(req.attempts) > 0)
}

// settle blocks the request's ordering key after an attempt that may still run on its engine.
func (o *orderedRequests) settle(req *request, now time.Duration) {
	if queue := o.queues.of(req); queue != nil {
		queue.blockUntil(now + o.settleTime)
	}
}

// wait keeps the request until it is at the head of its ordering key.
func (o *orderedRequests) wait(req *request) { o.waiting = append(o.waiting, req) }

// takeWaiting removes and returns the waiting requests.
func (o *orderedRequests) takeWaiting() []*request {
	waiting := o.waiting
	o.waiting = nil
	return waiting
}

// prune drops the queues that are empty and not blocked.
func (o *orderedRequests) prune(now time.Duration) {
	maps.DeleteFunc(o.queues, func(_ string, queue *keyQueue) bool { return queue.idle(now) })
}

// admitWaiting admits waiting requests that are at the head of their ordering key, in order of arrival.
func (b *Balancer) admitWaiting() {
	for _, req := range b.ordered.takeWaiting() {
		switch {
		case req.completed:
		case b.ordered.atHead(req, b.now):
			b.admit(req)
		default:
			b.ordered.wait(req)
		}
	}
}
