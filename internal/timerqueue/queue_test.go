package timerqueue

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Timers run in the order of their due times and then in that of Schedule. A timer that an earlier timer
// stops does not run. A timer that reschedules itself for a time that is due waits for the next call.
func TestRunDue_OrdersStopsAndPostpones(t *testing.T) {
	q := New()
	var got []int
	schedule := func(due int) *Timer {
		return q.Schedule(time.Duration(due), func() { got = append(got, due) })
	}
	schedule(30)
	stopped := schedule(20)
	schedule(10)
	q.Schedule(time.Duration(15), func() { stopped.Stop(); stopped.Stop() })
	var reschedule func()
	reschedule = func() { got = append(got, 0); q.Schedule(time.Duration(5), reschedule) }
	q.Schedule(time.Duration(5), reschedule)
	q.RunDue(time.Duration(25))
	if diff := cmp.Diff([]int{0, 10}, got); diff != "" {
		t.Error(diff)
	}
	if due, ok := q.NextDue(); !ok || due != time.Duration(5) || q.Len() != 2 {
		t.Errorf("next timer is due at %v (found: %v), %d timers are queued; want 5ns (true), 2", due, ok, q.Len())
	}
	q.RunDue(time.Duration(30))
	if diff := cmp.Diff([]int{0, 10, 0, 30}, got); diff != "" {
		t.Error(diff)
	}
}

func TestRunDue_DoesNotRequeueAPostponedTimerThatWasStopped(t *testing.T) {
	q := New()
	var postponed *Timer
	q.Schedule(1, func() {
		postponed = q.Schedule(1, func() { t.Error("a stopped timer ran") })
		q.Schedule(1, func() {})
	})
	q.Schedule(2, func() { postponed.Stop() })
	q.RunDue(2)
	if q.Len() != 1 {
		t.Errorf("%d timers are queued, want 1", q.Len())
	}
	q.RunDue(2)
}
