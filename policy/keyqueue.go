package policy

import (
	"slices"
	"time"
)

// keyQueue holds the unfinished requests of one ordering key, in order of arrival.
type keyQueue struct {
	requests     []*request
	blockedUntil time.Duration // no new request of the key is sent before this instant
}

// isHead reports whether the request is the oldest in the queue, which must not be empty.
func (q *keyQueue) isHead(req *request) bool { return q.requests[0] == req }

// blockUntil blocks the queue until the given instant. It never shortens an earlier block.
func (q *keyQueue) blockUntil(instant time.Duration) {
	q.blockedUntil = max(q.blockedUntil, instant)
}

// idle reports whether the queue is empty and not blocked.
func (q *keyQueue) idle(now time.Duration) bool {
	return len(q.requests) == 0 && now >= q.blockedUntil
}

// keyQueues are the queues of all ordering keys in use.
type keyQueues map[string]*keyQueue

// of returns the queue of the request's ordering key, or nil if the request is not ordered.
func (qs keyQueues) of(req *request) *keyQueue {
	if !req.isOrdered() {
		return nil
	}
	return qs[req.orderKey]
}

// enqueue appends the request to the queue of its ordering key, if it has one.
func (qs keyQueues) enqueue(req *request) {
	if !req.isOrdered() {
		return
	}
	queue := qs[req.orderKey]
	if queue == nil {
		queue = &keyQueue{}
		qs[req.orderKey] = queue
	}
	queue.requests = append(queue.requests, req)
}

// dequeue removes a finished request from its queue, and drops the queue if it is idle.
func (qs keyQueues) dequeue(req *request, now time.Duration) {
	queue := qs.of(req)
	if queue == nil {
		return
	}
	queue.requests = slices.DeleteFunc(queue.requests, func(other *request) bool { return other == req })
	if queue.idle(now) {
		delete(qs, req.orderKey)
	}
}
