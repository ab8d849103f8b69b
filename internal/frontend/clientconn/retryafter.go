package clientconn

import "time"

// CeilMilliseconds returns the duration in milliseconds, rounded up: a client that waits that long does not retry too
// early.
func CeilMilliseconds(d time.Duration) int64 {
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}
