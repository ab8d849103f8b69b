package policy

import "time"

// milliseconds converts a duration to fractional milliseconds.
func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
