package lifecycle

import "flaxrelay/policy"

// eventQueue passes events to the balancer one at a time and calls perform with each action that the
// balancer returns. Events that occur meanwhile are queued, since the balancer must not be called again
// before its actions are performed.
type eventQueue struct {
	balancer *policy.Balancer
	clock    Clock
	perform  func(policy.Action)
	handling bool // handle is on the stack
	events   []policy.Event
	actions  []policy.Action // reused between calls of the balancer
}

// handle queues an event, and handles all queued events unless a caller further up the stack does so. It
// reports whether the queue is empty.
func (q *eventQueue) handle(event policy.Event) (empty bool) {
	q.events = append(q.events, event)
	if q.handling {
		return false
	}
	q.handling = true
	for next := 0; next < len(q.events); next++ {
		q.actions = q.balancer.Handle(q.clock.Now(), q.events[next], q.actions[:0])
		for _, action := range q.actions {
			q.perform(action)
		}
	}
	clear(q.events)
	q.events = q.events[:0]
	q.handling = false
	return true
}
