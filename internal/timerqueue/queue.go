// Package timerqueue holds every timer of a single-threaded program in one queue that is ordered by due time. Its owner
// runs the due timers once in each turn of its event loop.
package timerqueue

import (
	"time"

	"github.com/google/btree"
)

// treeDegree is the degree of the B-tree: a node holds up to 2*treeDegree-1 timers.
const treeDegree = 16

// Queue orders timers by due time, and timers of the same due time by the order in which they were scheduled. It is not
// safe for concurrent use.
type Queue struct {
	tree         *btree.BTreeG[*Timer]
	lastSequence uint64
}

// Timer is one scheduled call. The zero value belongs to no queue.
type Timer struct {
	due      time.Duration
	sequence uint64
	callback func()
	queue    *Queue // nil once the timer ran or was stopped
}

// New returns an empty queue.
func New() *Queue {
	return &Queue{tree: btree.NewG(treeDegree, runsBefore)}
}

func runsBefore(a, b *Timer) bool {
	if a.due != b.due {
		return a.due < b.due
	}
	return a.sequence < b.sequence
}

// Schedule adds a timer whose callback the first RunDue at or after the due time runs.
func (q *Queue) Schedule(due time.Duration, callback func()) *Timer {
	q.lastSequence++
	t := &Timer{due: due, sequence: q.lastSequence, callback: callback, queue: q}
	q.tree.ReplaceOrInsert(t)
	return t
}

// Stop prevents the timer from running. It may be called more than once, after the timer ran, and on nil.
func (t *Timer) Stop() {
	if t == nil || t.queue == nil {
		return
	}
	t.queue.tree.Delete(t)
	t.release()
}

// release drops the references of a timer that is no longer in its queue: the owner may keep a stopped timer for long.
func (t *Timer) release() {
	t.queue = nil
	t.callback = nil
}

// RunDue runs all timers that are due at the instant. Timers that these schedule for the same instant wait for the next
// call, so that a timer which reschedules itself cannot block the caller forever.
func (q *Queue) RunDue(now time.Duration) {
	lastBeforeRun := q.lastSequence
	var postponed []*Timer
	for {
		t, ok := q.tree.Min()
		if !ok || t.due > now {
			break
		}
		q.tree.DeleteMin()
		if t.sequence > lastBeforeRun {
			postponed = append(postponed, t)
			continue
		}
		callback := t.callback
		t.release()
		callback()
	}
	for _, t := range postponed {
		if t.queue != nil { // not stopped meanwhile
			q.tree.ReplaceOrInsert(t)
		}
	}
}

// NextDue returns the due time of the earliest timer; ok is false if there is none.
func (q *Queue) NextDue() (due time.Duration, ok bool) {
	t, ok := q.tree.Min()
	if !ok {
		return 0, false
	}
	return t.due, true
}

// Len returns the number of timers in the queue.
func (q *Queue) Len() int { return q.tree.Len() }
