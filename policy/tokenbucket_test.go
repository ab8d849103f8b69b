package policy

import (
	"testing"
	"time"
)

func TestTokenBucket_PermitsItsRateAndCapacity(t *testing.T) {
	const rate, capacity = 2, 3
	var bucket tokenBucket
	for _, c := range []struct {
		at        time.Duration
		permitted int
	}{
		{0, 0},
		{500 * msec, 1},              // the rate of 2 tokens per second has added one token
		{750 * msec, 0},              // the bucket holds half a token
		{time.Second, 1},             // the bucket holds one token again
		{time.Minute, capacity},      // the bucket is full
		{time.Minute + 250*msec, 0},  // the bucket holds half a token
		{time.Minute + time.Hour, 3}, // the bucket is full again
	} {
		permitted := 0
		for range 10 {
			if bucket.take(c.at, rate, capacity) {
				permitted++
			}
		}
		if permitted != c.permitted {
			t.Errorf("at %v: %d permitted, want %d", c.at, permitted, c.permitted)
		}
	}
}
