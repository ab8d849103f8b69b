package policy

import "time"

// Action is what the caller must do, in the order given: StartAttempt, SetResources, CancelAttempt,
// CheckHealth, Reject, Fail, SetTimer, Subscribe, EngineEjected, EngineReadmitted or ReportOverload.
type Action interface{ action() }

// StartAttempt sends a request to an engine as its next attempt. The caller counts the attempts of each
// request from 0; AttemptEnded, CancelAttempt and the like name an attempt by this number.
type StartAttempt struct {
	RequestID uint64
	Engine    string
	Timeout   time.Duration // after it the caller ends the attempt with ResultTimedOut; above 0
}

// SetResources sets memory and priority of a request's attempts from here on, and the priority of
// those in flight.
type SetResources struct {
	RequestID uint64
	MemoryMB  float64 // 0: the engine chooses
	Priority  int     // 0 to 3, 3 the most urgent; 1 where engines heed none
}

// CancelAttempt ends one attempt; its AttemptEnded follows, with ResultCancelled unless it ended otherwise
// before. The caller ignores it for an attempt that has ended.
type CancelAttempt struct {
	RequestID uint64
	Attempt   int
}

// CheckHealth asks an engine for its load; HealthChecked follows.
type CheckHealth struct{ Engine string }

// Reject is a final response after which the client may safely retry.
type Reject struct {
	RequestID  uint64
	RetryAfter time.Duration // 0: not stated
	Reason     RejectReason
}

// RejectReason says why a request was rejected. From ReasonNoEndpoint to ReasonSlowStart the order matters:
// each engine that isn't chosen has one of these reasons, and the greatest of all engines is reported, so a
// lack of capacity at one engine hides the rules that exclude others.
type RejectReason uint8

// The reasons of a Reject.
const (
	// ReasonUnknownClass: the settings have no such class.
	ReasonUnknownClass RejectReason = iota
	// ReasonNoEndpoint: no engine of the endpoint list is ready.
	ReasonNoEndpoint
	// ReasonEjected: an engine is ready, but ejected, or the request's class is stalled there.
	ReasonEjected
	// ReasonAttemptsExhausted: one of the attemptRules forbids the attempt, such as the number of attempts,
	// the retry budget, idempotency, the zones and kinds of the class, its ordering or the deadline.
	ReasonAttemptsExhausted
	// ReasonEngineLimit: the request exceeds an engine's limit.
	ReasonEngineLimit
	// ReasonSlowStart: an engine is in slow start, and this balancer's share of its budget is spent.
	ReasonSlowStart
	// ReasonFleetLimit: the request exceeds the limit of all engines together.
	ReasonFleetLimit
	// ReasonRetryFutile: an attempt failed or is too slow, and a retry would be too late or fail as well.
	ReasonRetryFutile
	// ReasonDeadline: the request's deadline is reached.
	ReasonDeadline
)

var rejectReasonNames = [...]string{
	ReasonUnknownClass:      "unknown-class",
	ReasonNoEndpoint:        "no-endpoint",
	ReasonEjected:           "ejected",
	ReasonAttemptsExhausted: "attempts-exhausted",
	ReasonEngineLimit:       "engine-limit",
	ReasonSlowStart:         "slow-start",
	ReasonFleetLimit:        "fleet-limit",
	ReasonRetryFutile:       "retry-futile",
	ReasonDeadline:          "deadline",
}

// String returns the reason's name in logs and counters.
func (r RejectReason) String() string { return rejectReasonNames[r] }

// Fail is a final response after which the request may have had an effect.
type Fail struct{ RequestID uint64 }

// SetTimer asks for a TimerFired with the same token.
type SetTimer struct {
	After time.Duration
	Token uint64
}

// Subscribe asks for the endpoint list and its changes.
type Subscribe struct{}

// EngineEjected says that an engine was ejected as an outlier; it is for the operators.
type EngineEjected struct {
	Engine   string
	Reason   EjectionReason
	InFlight int // attempts in flight there
}

// EjectionReason says why an engine was ejected.
type EjectionReason uint8

// The reasons of an EngineEjected.
const (
	EjectedSilent           EjectionReason = iota // neither responses nor progress reports arrive from it
	EjectedErrors                                 // it responds with errors to requests that others serve
	EjectedConnectionFaults                       // connections to it fail or break
	EjectedOverdue                                // its responses are overdue
)

var ejectionReasonNames = [...]string{
	EjectedSilent:           "silent",
	EjectedErrors:           "errors",
	EjectedConnectionFaults: "connection-faults",
	EjectedOverdue:          "overdue",
}

// String returns the reason's name in logs.
func (r EjectionReason) String() string { return ejectionReasonNames[r] }

// EngineReadmitted says that an ejected engine takes requests again; it is for the operators.
type EngineReadmitted struct{ Engine string }

// ReportOverload says that this balancer alone has sent a warming engine more than it bears, which its
// budget rules out: a fault of this package. Nothing depends on it.
type ReportOverload struct {
	Engine string
	Sent   float64 // requests of mean work within the overload window
	Limit  float64
}

func (StartAttempt) action()     {}
func (SetResources) action()     {}
func (CancelAttempt) action()    {}
func (CheckHealth) action()      {}
func (Reject) action()           {}
func (Fail) action()             {}
func (SetTimer) action()         {}
func (Subscribe) action()        {}
func (EngineEjected) action()    {}
func (EngineReadmitted) action() {}
func (ReportOverload) action()   {}
