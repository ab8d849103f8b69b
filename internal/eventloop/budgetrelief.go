package eventloop

import (
	"cmp"
	"slices"
	"time"
)

const (
	// minPartialAge is how long a message may be incomplete before it is refused for lack of memory. A peer that sends
	// at full speed has sent the largest message by then.
	minPartialAge = 200 * time.Millisecond
	// reliefRetryDelay is the time until the next attempt to free a budget for which connections wait.
	reliefRetryDelay = 20 * time.Millisecond
)

// PartialRefuser is a Handler that can refuse an incomplete message. If the read buffers of accepted connections use up
// their budget, the messages that have been incomplete for the longest time are refused.
type PartialRefuser interface {
	Handler
	// RefusePartial responds to the incomplete message at the start of the buffer, and closes the connection. It does
	// nothing and returns false if the connection does not wait for the rest of a message.
	RefusePartial() bool
}

// partialMessage is a message that has not arrived completely, with the bytes that are buffered for it.
type partialMessage struct {
	refuser PartialRefuser
	size    int           // buffered bytes
	since   time.Duration // arrival of the first byte, by the clock of Loop.Now
	waiting bool          // the rest may be in the socket: the connection waits for the budget
}

// compareRefusal orders partial messages by which is refused first. A message whose rest may be in the socket comes
// last, because its peer may have sent all of it.
func compareRefusal(a, b partialMessage) int {
	if a.waiting != b.waiting {
		if a.waiting {
			return 1
		}
		return -1
	}
	return cmp.Compare(a.since, b.since)
}

// relieve grants reads to waiting connections as far as the budget permits. If others still wait, it has incomplete
// messages refused, whose connections then release their buffers. It must be called on the loop's goroutine.
func (b *readBudget) relieve() {
	b.reliefPosted.Store(false)
	for r := b.grantNext(); r != nil; r = b.grantNext() {
		r.resumeGranted()
	}
	if b.waitingCount() == 0 {
		return
	}
	b.refuseOldest()
	b.scheduleRetry()
}

// refuseOldest refuses incomplete messages, the oldest first, until the bytes that are about to be released suffice for
// the waiting connections.
func (b *readBudget) refuseOldest() {
	partials, released := b.partialMessages()
	slices.SortFunc(partials, compareRefusal)
	missing := b.shortage() - int64(released)
	latest := b.loop.Now() - minPartialAge
	for _, partial := range partials {
		if missing <= 0 {
			return
		}
		if partial.since <= latest && partial.refuser.RefusePartial() {
			missing -= int64(partial.size)
		}
	}
}

// partialMessages returns the incomplete messages of more than one read. It also returns how many bytes are about to be
// released, because their connections are being closed.
func (b *readBudget) partialMessages() (partials []partialMessage, released int) {
	for c := range b.loop.connections {
		if c.reader.budget != b {
			continue
		}
		refuser, ok := c.handler.(PartialRefuser)
		partial, closing := c.reader.partialMessage()
		switch {
		case closing:
			released += partial.size
		case ok && partial.size >= readSize:
			partial.refuser = refuser
			partials = append(partials, partial)
		}
	}
	return partials, released
}

// scheduleRetry schedules another call of relieve: a message may have become old enough to be refused by then.
func (b *readBudget) scheduleRetry() {
	if b.retryScheduled {
		return
	}
	b.retryScheduled = true
	b.loop.Timers.Schedule(b.loop.Now()+reliefRetryDelay, func() {
		b.retryScheduled = false
		b.relieve()
	})
}
