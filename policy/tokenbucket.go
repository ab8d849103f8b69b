package policy

import "time"

// tokenBucket limits the rate of events. It fills continuously up to a capacity, and each permitted event
// takes one token.
type tokenBucket struct {
	tokens   float64
	filledAt time.Duration
}

// take fills the bucket, at a rate in tokens a second and up to the capacity, and takes one token. If the
// bucket holds less than one token, it takes nothing and returns false.
func (t *tokenBucket) take(now time.Duration, rate, capacity float64) bool {
	t.tokens = min(t.tokens+rate*(now-t.filledAt).Seconds(), capacity)
	t.filledAt = now
	if t.tokens < 1 {
		return false
	}
	t.tokens--
	return true
}
