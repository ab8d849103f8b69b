package timerqueue

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// recorder records the names of the timers that run, in the order in which they run.
type recorder struct {
	queue *Queue
	ran   []string
}

func newRecorder() *recorder { return &recorder{queue: New()} }

// schedule adds a timer that records its name when it runs.
func (r *recorder) schedule(due time.Duration, name string) *Timer {
	return r.queue.Schedule(due, func() { r.ran = append(r.ran, name) })
}

// checkRan fails the test unless exactly the named timers have run, in this order.
func (r *recorder) checkRan(t *testing.T, want ...string) {
	t.Helper()
	if diff := cmp.Diff(want, r.ran); diff != "" {
		t.Errorf("timers that ran (-want +got):\n%s", diff)
	}
}

func TestRunDue_RunsDueTimersInOrderOfDueTimeAndThenOfSchedule(t *testing.T) {
	r := newRecorder()
	r.schedule(30, "last")
	r.schedule(20, "second")
	r.schedule(20, "third")
	r.schedule(10, "first")
	r.queue.RunDue(29)
	r.checkRan(t, "first", "second", "third")
	r.queue.RunDue(30)
	r.checkRan(t, "first", "second", "third", "last")
}

func TestRunDue_DoesNotRunATimerThatAnEarlierOneStops(t *testing.T) {
	r := newRecorder()
	stopped := r.schedule(20, "stopped")
	r.queue.Schedule(10, func() {
		stopped.Stop()
		stopped.Stop() // the second call does nothing
	})
	r.queue.RunDue(20)
	r.checkRan(t)
}

func TestRunDue_PostponesATimerThatACallbackSchedulesToTheNextCall(t *testing.T) {
	r := newRecorder()
	var reschedule func()
	reschedule = func() {
		r.ran = append(r.ran, "rescheduled")
		r.queue.Schedule(5, reschedule)
	}
	r.queue.Schedule(5, reschedule)
	r.schedule(10, "other")
	r.schedule(30, "later")
	r.queue.RunDue(25)
	r.checkRan(t, "rescheduled", "other")
	if due, ok := r.queue.NextDue(); !ok || due != 5 || r.queue.Len() != 2 {
		t.Errorf("next due time %v (found: %v), %d timers queued; want 5ns (true), 2", due, ok, r.queue.Len())
	}
	r.queue.RunDue(30)
	r.checkRan(t, "rescheduled", "other", "rescheduled", "later")
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
