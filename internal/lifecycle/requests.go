package lifecycle

// requestTable holds the accepted requests until they are released, and counts the pending requests. Its
// keys are the IDs that identify the requests to the balancer.
type requestTable struct {
	lastID     uint64
	byID       map[uint64]*Request
	pending    int        // number of requests in requestPending
	releasable []*Request // released once the event queue is empty; the slice is reused
}

func newRequestTable() requestTable { return requestTable{byID: map[uint64]*Request{}} }

// add gives a new request its ID for the balancer, and marks the request as pending.
func (t *requestTable) add(r *Request) {
	t.lastID++
	r.policyID = t.lastID
	r.priority = defaultPriority
	r.state = requestPending
	t.byID[r.policyID] = r
	t.pending++
}

// complete marks a pending request as completed.
func (t *requestTable) complete(r *Request) {
	r.state = requestCompleted
	t.pending--
}

// release removes a completed request that has no attempt in flight.
func (t *requestTable) release(r *Request) {
	r.state = requestReleased
	delete(t.byID, r.policyID)
}

// attempt returns an attempt of a request, or nil if there is no such attempt in flight.
func (t *requestTable) attempt(policyID uint64, index int) *Attempt {
	r := t.byID[policyID]
	if r == nil || index < 0 || index >= len(r.attempts) || r.attempts[index].Ended() {
		return nil
	}
	return r.attempts[index]
}

// countPending counts the pending requests one by one, and calls visit for each.
func (t *requestTable) countPending(visit func(*Request)) (pending int) {
	for _, r := range t.byID {
		if r.state == requestPending {
			pending++
			visit(r)
		}
	}
	return pending
}
