// Package timerqueue provides a queue of timers, ordered by due time, for a program with one event loop. The loop runs
// the due timers once in each iteration.
package timerqueue

import (
	"time"

	"github.com/google/btree"
)

// treeDegree is the degree of the B-tree: a node contains up to 2*treeDegree-1 timers.
const treeDegree = 16

// Queue owns the timers that have not run yet. It runs them in the order of their due times, and timers with the same
// due time in the order in which they were scheduled. Due times are readings of the caller's clock. A Queue and its
// timers are not safe for concurrent use.
type Queue struct {
	tree         *btree.BTreeG[*Timer]
	lastSequence uint64
}

// Timer is one scheduled call.
type Timer struct {
	due      time.Duration
	sequence uint64 // orders timers with the same due time; counts the calls of Schedule
	callback func()
	queue    *Queue // nil after the timer ran or was stopped
}

// New returns an empty queue.
func New() *Queue {
	return &Queue{tree: btree.NewG(treeDegree, runsBefore)}
}

// runsBefore reports whether timer a runs before timer b.
func runsBefore(a, b *Timer) bool {
	if a.due != b.due {
		return a.due < b.due
	}
	return a.sequence < b.sequence
}

// Schedule adds a timer. The first call of RunDue with a time at or after due runs the callback.
func (q *Queue) Schedule(due time.Duration, callback func()) *Timer {
	q.lastSequence++
	t := &Timer{due: due, sequence: q.lastSequence, callback: callback, queue: q}
	q.tree.ReplaceOrInsert(t)
	return t
}

// Stop prevents the timer from running. It may be called more than once, after the timer ran, and on a nil timer.
func (t *Timer) Stop() {
	if t == nil || t.queue == nil {
		return
	}
	t.queue.tree.Delete(t)
	t.release()
}

// release drops the references of a timer that has run or was stopped, because its owner may keep the timer for a long
// time.
func (t *Timer) release() {
	t.queue = nil
	t.callback = nil
}

// RunDue runs all timers that are due at or before now. A timer that is scheduled by a callback waits for the next call
// of RunDue, even if the timer is already due. Otherwise a timer that reschedules itself could block the caller
// forever.
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
		if t.queue != nil { // not stopped by a later callback
			q.tree.ReplaceOrInsert(t)
		}
	}
}

// NextDue returns the due time of the earliest timer; ok is false if the queue is empty.
func (q *Queue) NextDue() (due time.Duration, ok bool) {
	t, ok := q.tree.Min()
	if !ok {
		return 0, false
	}
	return t.due, true
}

// Len returns the number of timers in the queue.
func (q *Queue) Len() int { return q.tree.Len() }
