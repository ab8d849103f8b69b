package policy

import "time"

// Action is something that the caller must do: StartAttempt, SetResources, CancelAttempt, CheckHealth, Reject,
// Fail, SetTimer, Subscribe, EngineEjected, EngineReadmitted or ReportOverload. The caller performs the actions
// of an event in their order.
type Action interface{ action() }

// StartAttempt sends a request to an engine as the request's next attempt. The caller numbers the attempts of
// each request from 0; AttemptEnded, CancelAttempt and others refer to an attempt by this number.
type StartAttempt struct {
	RequestID uint64
	Engine    string
	Timeout   time.Duration // the caller then ends the attempt with ResultTimedOut; above 0
}

// SetResources sets the memory and priority of a request's later attempts, and the priority of its attempts in
// flight.
type SetResources struct {
	RequestID uint64
	MemoryMB  float64 // 0: the engine chooses
	Priority  int     // 0 to 3, where 3 is the most urgent; 1 if engines ignore priorities
}

// CancelAttempt ends one attempt. An AttemptEnded with ResultCancelled follows. If the attempt has already
// ended, the caller ignores the action.
type CancelAttempt struct {
	RequestID uint64
	Attempt   int
}

// CheckHealth asks an engine for its load; HealthChecked follows.
type CheckHealth struct{ Engine string }

// Reject is a final response after which the client may safely send the request again.
type Reject struct {
	RequestID  uint64
	RetryAfter time.Duration // 0: the response does not state when to retry
	Reason     RejectReason
}

// RejectReason is the reason why a request was rejected. The order from ReasonNoEndpoint to ReasonSlowStart
// matters: if no engine is chosen, each engine has one of these reasons, and the greatest of them is reported.
// A lack of capacity at one engine thus takes precedence over the rules that exclude other engines.
type RejectReason uint8

// The reasons of a Reject.
const (
	// ReasonUnknownClass: the settings do not name the request's class.
	ReasonUnknownClass RejectReason = iota
	// ReasonNoEndpoint: no engine in the endpoint list is ready.
	ReasonNoEndpoint
	// ReasonEjected: an engine is ready but ejected, or the request's class is stalled there.
	ReasonEjected
	// ReasonAttemptsExhausted: one of the attemptRules forbids the attempt. These rules cover the number of
	// attempts, the retry budget, idempotency, the zones and kinds of the class, its ordering, the deadline
	// and more.
	ReasonAttemptsExhausted
	// ReasonEngineLimit: the request exceeds an engine's concurrency limit.
	ReasonEngineLimit
	// ReasonSlowStart: an engine is in slow start, and this front end's share of its budget is spent.
	ReasonSlowStart
	// ReasonFleetLimit: the request exceeds the concurrency limit of all engines together.
	ReasonFleetLimit
	// ReasonRetryFutile: an attempt failed or is too slow, and a retry would be too late or fail as well.
	ReasonRetryFutile
	// ReasonDeadline: the request has no final response when its DeadlineTimer fires.
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

// SetTimer asks for a TimerFired with the same token after the given time.
type SetTimer struct {
	After time.Duration
	Token uint64
}

// Subscribe asks for the endpoint list and its changes.
type Subscribe struct{}

// EngineEjected tells the operators that an engine was ejected as an outlier.
type EngineEjected struct {
	Engine   string
	Reason   EjectionReason
	InFlight int // attempts in flight at the engine
}

// EjectionReason is the reason why an engine was ejected.
type EjectionReason uint8

// The reasons of an EngineEjected.
const (
	EjectedSilent           EjectionReason = iota // the engine sends neither responses nor progress reports
	EjectedErrors                                 // the engine returns errors for requests that others serve
	EjectedConnectionFaults                       // connections to the engine fail or break
	EjectedOverdue                                // the engine's responses are overdue
)

var ejectionReasonNames = [...]string{
	EjectedSilent:           "silent",
	EjectedErrors:           "errors",
	EjectedConnectionFaults: "connection-faults",
	EjectedOverdue:          "overdue",
}

// String returns the reason's name in logs.
func (r EjectionReason) String() string { return ejectionReasonNames[r] }

// EngineReadmitted tells the operators that an ejected engine takes requests again.
type EngineReadmitted struct{ Engine string }

// ReportOverload reports that this front end alone has sent a warming engine more work than the engine can
// handle from all front ends together. The budget of slow start should prevent such an overload, so the
// report shows a bug in this package. No decision depends on the report.
type ReportOverload struct {
	Engine string
	Sent   float64 // requests of mean work within the overload window
	Limit  float64 // in the same unit
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
