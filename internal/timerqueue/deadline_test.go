package timerqueue

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Entries run in order of time and then of adding; one stopped by an earlier one
// does not run; one that re-arms itself for now waits for the next sweep.
func TestSweep(t *testing.T) {
	q := New()
	var got []int
	add := func(at int) *Timer { return q.Schedule(time.Duration(at), func() { got = append(got, at) }) }
	add(30)
	stopped := add(20)
	add(10)
	q.Schedule(time.Duration(15), func() { stopped.Stop(); stopped.Stop() })
	var again func()
	again = func() { got = append(got, 0); q.Schedule(time.Duration(5), again) }
	q.Schedule(time.Duration(5), again)
	q.RunDue(time.Duration(25))
	if diff := cmp.Diff([]int{0, 10}, got); diff != "" {
		t.Error(diff)
	}
	if at, ok := q.NextDue(); !ok || at != time.Duration(5) || q.Len() != 2 {
		t.Errorf("next at %v, %d entries", at, q.Len())
	}
	q.RunDue(time.Duration(30))
	if diff := cmp.Diff([]int{0, 10, 0, 30}, got); diff != "" {
		t.Error(diff)
	}
}
