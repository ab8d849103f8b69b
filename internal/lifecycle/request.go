package lifecycle

import "time"

// defaultPriority is the priority of attempts until the balancer sets another one.
const defaultPriority = 1

// Request is one query or load. The exported fields are set by the front end
// before Dispatcher.Accept and do not change afterwards; all others belong to the
// Dispatcher.
type Request struct {
	ID                string        // set by the client and forwarded unchanged; not necessarily unique
	Class             string        // name of its class
	Tenant            string        // tenant whose quota the request uses; "": none
	OrderKey          string        // requests with the same key run one at a time, in order of arrival; "": none
	IdempotencyKey    string        // engines recognize duplicates by this key; "": none
	Statement         any           // as parsed by the front end, for an engine client of its protocol
	Dataset           int64         // data set (a group of tables) that the request reads or writes
	Deadline          time.Duration // instant at which the client gives up
	EstimatedWork     time.Duration // sum over all threads; 0: unknown
	EstimatedMemoryMB float64       // 0: unknown
	ClientRetry       bool          // the client marked the request as a retry
	Client            Client        // receives the response
	ObserverData      any           // opaque, for the CostObserver; nil: not observed

	policyID        uint64 // identifies the request to the balancer
	state           requestState
	attempts        []*Attempt // in the order of their start
	inFlight        int        // attempts that have not ended
	memoryGrantMB   float64    // for future attempts; 0: the engine decides
	priority        int
	lastErrorDetail any // details of the latest engine error that the response may pass on
}

// requestState is the state of a request. A request never returns to an earlier state:
//
//	requestNew:        Dispatcher.Accept -> requestPending
//	requestPending:    its response is given -> requestCompleted
//	requestPending:    Dispatcher.ClientDisconnected -> requestCompleted
//	requestCompleted:  its attempts have ended, and no events are queued -> requestReleased
//
// A completed request may still have attempts in flight, whose results are no longer needed.
type requestState uint8

const (
	requestNew       requestState = iota // not accepted yet
	requestPending                       // accepted; awaits its response
	requestCompleted                     // the response was given, or the client has disconnected
	requestReleased                      // no attempt is in flight, and the dispatcher has dropped the request
)

// recordErrorDetail updates the error detail that the response will pass on. It is called when an attempt has ended.
// An attempt that may have run always replaces the previous detail, even if detail is nil. An attempt that never ran
// replaces it only by a detail that is not nil, and only while the request cannot have had an effect. After a possible
// effect, the new detail would hide this effect.
func (r *Request) recordErrorDetail(a *Attempt, detail any, mayHaveHadEffect bool) {
	if a.state == attemptMayHaveRun || detail != nil && !mayHaveHadEffect {
		r.lastErrorDetail = detail
	}
}

// completed reports whether the request no longer needs a response.
func (r *Request) completed() bool { return r.state >= requestCompleted }

// mayHaveRun reports whether an engine may have run an attempt of the request.
func (r *Request) mayHaveRun() bool {
	return r.firstPossibleRun() != nil
}

// firstPossibleRun returns the first attempt that an engine may have run, or nil.
func (r *Request) firstPossibleRun() *Attempt {
	for _, a := range r.attempts {
		if a.state != attemptNeverRan {
			return a
		}
	}
	return nil
}
