package lifecycle

// requestTable holds the accepted requests until they are released, keyed by the ID that identifies
// them to the balancer, and counts the pending requests.
type requestTable struct {
	lastID     uint64
	byID       map[uint64]*Request
	pending    int        // number of requests in requestPending
	releasable []*Request // released once the event queue is empty; the slice is reused
}

func newRequestTable() requestTable { return requestTable{byID: map[uint64]*Request{}} }

// add accepts a request.
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

// release removes a completed request.
func (t *requestTable) release(r *Request) {
	r.state = requestReleased
	delete(t.byID, r.policyID)
}

// attempt returns an attempt in flight of a request, or nil.
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
