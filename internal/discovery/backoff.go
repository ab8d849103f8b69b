package discovery

import "time"

// Backoff computes the delays between attempts to reach a source. Each delay is twice the previous
// delay, up to a maximum. It is not safe for concurrent use.
type Backoff struct {
	// Initial is the first delay, and the first delay after Reset. Max does not limit it.
	Initial time.Duration
	// Max limits all delays except the first.
	Max time.Duration

	next time.Duration // the next delay; 0: Initial
}

// Next returns the delay before the next attempt.
func (b *Backoff) Next() time.Duration {
	delay := b.next
	if delay == 0 {
		delay = b.Initial
	}
	b.next = min(2*delay, b.Max)
	return delay
}

// Reset makes Initial the next delay. It must be called after an attempt has succeeded.
func (b *Backoff) Reset() { b.next = 0 }
