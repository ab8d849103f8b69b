package discovery

import "time"

// Backoff gives the delays between the attempts to reach a source: each is twice the one
// before. It is not safe for concurrent use.
type Backoff struct {
	// Initial is the first delay, and the first after Reset, also where Max is less.
	Initial time.Duration
	// Max bounds the delays after the first.
	Max time.Duration

	next time.Duration // 0: Initial
}

// Next returns the delay before the next attempt, and doubles the one after it.
func (b *Backoff) Next() time.Duration {
	delay := b.next
	if delay == 0 {
		delay = b.Initial
	}
	b.next = min(2*delay, b.Max)
	return delay
}

// Reset starts again at Initial, after an attempt that succeeded.
func (b *Backoff) Reset() { b.next = 0 }
