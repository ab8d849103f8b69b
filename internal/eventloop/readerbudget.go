package eventloop

// The methods in this file are the part of reader that depends on the budget.

// awaitsBudget reports whether reading has paused until the budget has space.
func (r *reader) awaitsBudget() bool { return budgetState(r.budgetState.Load()) == budgetWaiting }

// nextReadLocked returns the part of scratch that the next read may fill. It is empty if the read must wait for the
// budget.
func (r *reader) nextReadLocked(scratch []byte, mode readMode) []byte {
	switch {
	case r.state.load() != connOpen, mode == readBeforeClose: // the bytes are discarded, or would be lost
		return scratch
	case budgetState(r.budgetState.Load()) == budgetGranted:
		r.leaveBudgetLocked()
		return scratch
	case r.budget.hasSpace():
		return scratch
	default:
		return scratch[:max(readSize-r.in.Len(), 0)]
	}
}

// awaitBudgetLocked pauses reading until the budget grants a read.
func (r *reader) awaitBudgetLocked() {
	r.paused = true
	r.socket.setReadInterest(noReadEvents) // the end of the stream is detected once the bytes before it are read
	if !r.awaitsBudget() {
		r.budgetState.Store(int32(budgetWaiting))
		r.budget.enqueue(r)
	}
}

// leaveBudgetLocked ends the wait for the budget, or uses or returns the grant.
func (r *reader) leaveBudgetLocked() {
	switch budgetState(r.budgetState.Swap(int32(budgetNone))) {
	case budgetWaiting:
		r.budget.remove(r)
	case budgetGranted:
		r.budget.endGrant()
	case budgetNone:
	}
}

// resumeGranted resumes reading after the budget has granted a read. If the reader does not wait any more, it returns
// the grant.
func (r *reader) resumeGranted() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.awaitsBudget() {
		r.budget.endGrant()
		return
	}
	r.budgetState.Store(int32(budgetGranted))
	r.resumeLocked()
}

// partialMessage returns the incomplete message at the start of the buffer, or size 0 if the buffer is empty. It also
// reports whether the connection is being closed; the size is then that of the bytes that will be dropped.
func (r *reader) partialMessage() (partial partialMessage, closing bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	size := r.in.Len()
	switch {
	case r.state.load() != connOpen:
		return partialMessage{size: size}, true
	case size == 0 || r.deliveryPosted: // the handler has not seen all bytes, which may complete the message
		return partialMessage{}, false
	}
	return partialMessage{size: size, since: r.in.ArrivedAt(1), waiting: r.awaitsBudget()}, false
}
