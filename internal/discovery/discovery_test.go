package discovery

import (
	"math"
	"slices"
	"testing"
	"time"
)

func TestBackoff_DoublesItsDelaysUpToTheMaximum(t *testing.T) {
	for _, test := range []struct {
		name    string
		backoff Backoff
		want    []time.Duration
	}{
		{"doubles up to Max", Backoff{Initial: 50, Max: 250}, []time.Duration{50, 100, 200, 250, 250}},
		{"starts at Initial even if Max is less", Backoff{Initial: 50, Max: 30}, []time.Duration{50, 30, 30, 30, 30}},
	} {
		t.Run(test.name, func(t *testing.T) {
			for range 2 {
				var got []time.Duration
				for range test.want {
					got = append(got, test.backoff.Next())
				}
				if !slices.Equal(got, test.want) {
					t.Errorf("delays %v, want %v", got, test.want)
				}
				test.backoff.Reset()
			}
		})
	}
}

func TestStartTime_IsKnownWithinItsRange(t *testing.T) {
	for _, test := range []struct {
		milliseconds int64
		at           time.Duration
		known        bool
	}{
		{5000, 5 * time.Second, true},
		{startTimeLimit - 1, (startTimeLimit - 1) * time.Millisecond, true},
		{startTimeLimit, 0, false},
		{math.MaxInt64, 0, false},
		{0, 0, false},
		{-1, 0, false},
	} {
		if at, known := StartTime(test.milliseconds); at != test.at || known != test.known {
			t.Errorf("%d ms: %v, %t, want %v, %t", test.milliseconds, at, known, test.at, test.known)
		}
	}
}
