package clientconn

import (
	"testing"
	"time"
)

func TestCeilMilliseconds_RoundsUp(t *testing.T) {
	for duration, want := range map[time.Duration]int64{
		0: 0, 1: 1, time.Millisecond: 1, time.Millisecond + 1: 2, 2 * time.Second: 2000,
	} {
		if got := CeilMilliseconds(duration); got != want {
			t.Errorf("%v: got %d ms, want %d", duration, got, want)
		}
	}
}
