package soak

import (
	"sync"
	"time"
)

// outcome is how a request ended, as its client saw it.
type outcome string

const (
	outcomeServed       outcome = "served"
	outcomeRejected     outcome = "rejected"
	outcomeFailed       outcome = "failed"
	outcomeDisconnected outcome = "disconnected" // the client closed its connection without reading the response
	outcomeExcused      outcome = "excused"      // no response, because the front end was killed
	outcomeLost         outcome = "lost"         // the response was missing, late or incomplete
)

// request is a request of a client, with its outcome.
type request struct {
	id       string
	class    string
	frontEnd string
	sentAt   time.Time     // when its last byte was written
	wait     time.Duration // from sentAt to the client's deadline
	endedAt  time.Time     // when the response was complete or found missing, or the client disconnected
	outcome  outcome
	detail   string

	newConnection bool // the request was the first on its connection
}

func (r *request) deadline() time.Time { return r.sentAt.Add(r.wait) }

// responseKind is the kind of an engine's response to an attempt.
type responseKind string

const (
	responseNone      responseKind = ""          // no response was written
	responseServed    responseKind = "served"    // a result
	responseRejected  responseKind = "rejected"  // the engine has no capacity; the request has not run
	responseFailed    responseKind = "failed"    // the request may have run
	responseMalformed responseKind = "malformed" // cannot be parsed
)

// attempt is one execution of a request at an engine.
type attempt struct {
	requestID     string
	engine        string
	class         string
	beganAt       time.Time     // when it arrived at the engine
	remainingTime time.Duration // until the client's deadline, as given by the front end
	endedAt       time.Time     // as recorded by endAttempt or endProcess; zero: in flight
	response      responseKind
	workTime      time.Duration

	// delayed means that a proxy or a frozen engine may have delayed the attempt, so that its times
	// differ from the times at the front end.
	delayed bool
}

// engineChange is a change of the endpoint list that the bus publishes.
type engineChange struct {
	engine      string
	state       engineState
	publishedAt time.Time
	startedAt   time.Time // start of the engine by the real clock; zero: the change is not a start
}

// span is the time between two instants.
type span struct{ from, until time.Time }

// contains reports whether the time lies in the span, both ends included.
func (s span) contains(t time.Time) bool { return !t.Before(s.from) && !t.After(s.until) }

// history contains the requests, attempts and changes of a run, and all else that the checker needs. Clients, engine
// processes and the fault injector add to it during the run. A history is safe for concurrent use.
type history struct {
	mu             sync.Mutex
	requests       []*request
	attempts       []*attempt
	inFlight       map[string]map[string]*attempt // by engine process and request id
	changes        []engineChange
	busFaults      []span // in which a bus fault may delay notifications
	processorWaits []processorWait
	violations     []Violation // recorded before the checker reads the history
}

func newHistory() *history { return &history{inFlight: map[string]map[string]*attempt{}} }

func (h *history) addRequest(r *request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.requests = append(h.requests, r)
}

func (h *history) addChange(c engineChange) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.changes = append(h.changes, c)
}

func (h *history) addBusFault(from, until time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.busFaults = append(h.busFaults, span{from, until})
}

func (h *history) addProcessorWait(w processorWait) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.processorWaits = append(h.processorWaits, w)
}

// processorWaitSum returns how long processes of the run waited for a processor in total.
func (h *history) processorWaitSum() (sum time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, w := range h.processorWaits {
		sum += w.duration
	}
	return sum
}

// addViolation records a violation that the checker cannot find in the history.
func (h *history) addViolation(v Violation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.violations = append(h.violations, v)
}

// beginAttempt records an attempt that has arrived at an engine process.
func (h *history) beginAttempt(process string, a *attempt) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.attempts = append(h.attempts, a)
	if h.inFlight[process] == nil {
		h.inFlight[process] = map[string]*attempt{}
	}
	h.inFlight[process][a.requestID] = a
}

type attemptEnd struct {
	at       time.Time
	response responseKind
	workTime time.Duration
	delayed  bool // the engine process may have noticed the end late
}

// endAttempt records the end of an attempt that is in flight at an engine process: its response is about to be
// written, it was cancelled, or its connection has ended. endAttempt has no effect if the attempt has already
// ended.
func (h *history) endAttempt(process, requestID string, end attemptEnd) {
	h.mu.Lock()
	defer h.mu.Unlock()
	a := h.inFlight[process][requestID]
	if a == nil {
		return
	}
	delete(h.inFlight[process], requestID)
	a.endedAt = end.at
	a.response = end.response
	a.workTime = end.workTime
	a.delayed = a.delayed || end.delayed
}

// endProcess records the exit of an engine process, which ends its attempts in flight.
func (h *history) endProcess(process string, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, a := range h.inFlight[process] {
		a.endedAt = at
	}
	delete(h.inFlight, process)
}

// outcomeCounts counts the requests by their outcome.
func (h *history) outcomeCounts() map[outcome]int {
	h.mu.Lock()
	defer h.mu.Unlock()
	counts := map[outcome]int{}
	for _, r := range h.requests {
		counts[r.outcome]++
	}
	return counts
}

// attemptCount returns the number of attempts that arrived at engines.
func (h *history) attemptCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.attempts)
}
