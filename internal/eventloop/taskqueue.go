package eventloop

import "sync"

// taskQueue holds the functions that were posted to a loop. The method post may be called from any goroutine, the
// others from the loop's goroutine only.
type taskQueue struct {
	wakeUp   chan struct{} // receives a value when functions may have been posted; holds one at most
	recycled []func()      // the backing array of the latest turn's functions, for reuse

	mu     sync.Mutex
	posted []func() // guarded by mu
}

func newTaskQueue() *taskQueue { return &taskQueue{wakeUp: make(chan struct{}, 1)} }

// post adds f after all functions posted before, and wakes the loop.
func (q *taskQueue) post(f func()) {
	q.mu.Lock()
	q.posted = append(q.posted, f)
	q.mu.Unlock()
	select {
	case q.wakeUp <- struct{}{}:
	default:
	}
}

// runPosted runs the functions that were posted before this call. Functions that these post run in the next call, so
// that timers run in between.
func (q *taskQueue) runPosted() {
	q.mu.Lock()
	tasks := q.posted
	q.posted = q.recycled[:0]
	q.mu.Unlock()
	for i, task := range tasks {
		task()
		tasks[i] = nil
	}
	q.recycled = tasks[:0]
}
