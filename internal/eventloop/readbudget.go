package eventloop

import (
	"slices"
	"sync"
	"sync/atomic"
)

// defaultReadBudget is the limit of a new read budget, in bytes.
const defaultReadBudget = 48 << 20

// readBudget limits the total size of the read buffers of a group of connections. Each connection may buffer readSize
// bytes in any case. A connection that would buffer more while the budget is used up waits, and its bytes stay in the
// socket. The waiting connections are granted reads in the order in which they began to wait. No buffered byte is ever
// dropped for lack of memory; see relieve for how the budget becomes free again.
//
// Its methods may be called from any goroutine, except those that say otherwise.
type readBudget struct {
	loop *Loop

	limit        atomic.Int64 // bytes
	buffered     atomic.Int64 // bytes in all read buffers
	reliefPosted atomic.Bool  // a call of relieve is in the loop's queue

	mu      sync.Mutex
	waiting []*reader // guarded by mu
	granted int       // guarded by mu; granted reads that have not begun

	retryScheduled bool // a timer will call relieve; used only on the loop's goroutine
}

// budgetState is the relation of a reader to its budget.
//
//	none    -> waiting  the next read exceeds the budget
//	waiting -> granted  the budget has space for one more read
//	granted -> none     the read begins
//	any     -> none     the buffer needs no further read, or the connection has ended
type budgetState int32

const (
	// budgetNone: the reader neither waits nor has a grant.
	budgetNone budgetState = iota
	// budgetWaiting: the reader is in the queue of its budget.
	budgetWaiting
	// budgetGranted: the reader may read once, even if the budget is used up again.
	budgetGranted
)

func newReadBudget(loop *Loop) *readBudget {
	b := &readBudget{loop: loop}
	b.limit.Store(defaultReadBudget)
	return b
}

// add counts n bytes that were buffered. A negative n counts bytes that were consumed or dropped.
func (b *readBudget) add(n int) {
	b.buffered.Add(int64(n))
	if n < 0 && b.waitingCount() > 0 {
		b.postRelief()
	}
}

// hasSpace reports whether a reader may read without waiting. It is false while others wait.
func (b *readBudget) hasSpace() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.waiting) == 0 && b.spaceLocked() > 0
}

// spaceLocked returns how many bytes may still be buffered, after all granted reads. It is negative if the budget is
// exceeded.
func (b *readBudget) spaceLocked() int64 {
	return b.limit.Load() - b.buffered.Load() - int64(b.granted)*readSize
}

// enqueue adds a reader that has to wait.
func (b *readBudget) enqueue(r *reader) {
	b.mu.Lock()
	b.waiting = append(b.waiting, r)
	b.mu.Unlock()
	b.postRelief() // the budget may have become free before the reader was in the queue
}

// remove removes a reader that does not wait any more. It does nothing if the reader is not in the queue.
func (b *readBudget) remove(r *reader) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if i := slices.Index(b.waiting, r); i >= 0 {
		b.waiting = slices.Delete(b.waiting, i, i+1)
	}
}

// endGrant records that a granted read begins, or that it is not needed.
func (b *readBudget) endGrant() {
	b.mu.Lock()
	b.granted--
	b.mu.Unlock()
	if b.waitingCount() > 0 {
		b.postRelief()
	}
}

// grantNext grants a read to the reader that has waited for the longest time and returns it, or nil if none waits or
// the budget is used up.
func (b *readBudget) grantNext() *reader {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.waiting) == 0 || b.spaceLocked() <= 0 {
		return nil
	}
	next := b.waiting[0]
	b.waiting = slices.Delete(b.waiting, 0, 1)
	b.granted++
	return next
}

func (b *readBudget) waitingCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.waiting)
}

// shortage returns how many bytes must be released until each waiting reader can be granted a read.
func (b *readBudget) shortage() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return int64(len(b.waiting))*readSize - b.spaceLocked()
}

// postRelief schedules a call of relieve.
func (b *readBudget) postRelief() {
	if !b.reliefPosted.Swap(true) {
		b.loop.Post(b.relieve)
	}
}
