package policy

import "time"

// tokenBucket limits a rate. It fills continuously up to a capacity; each
// permitted event takes one token.
type tokenBucket struct {
	tokens   float64
	filledAt time.Duration
}

// take fills the bucket at a rate in tokens a second, up to the capacity, and
// takes one token. It returns false, and takes nothing, where there is none.
func (t *tokenBucket) take(now time.Duration, rate, capacity float64) bool {
	t.tokens = min(t.tokens+rate*(now-t.filledAt).Seconds(), capacity)
	t.filledAt = now
	if t.tokens < 1 {
		return false
	}
	t.tokens--
	return true
}
