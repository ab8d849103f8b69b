package policy

import "time"

// Event is an input of a balancer: RequestArrived, AttemptEnded, HealthChecked, ProgressReported,
// StreamStarted, ClientDisconnected, TimerFired or EndpointsChanged.
type Event interface{ event() }

// RequestArrived is a new request. The request is pending until a ClientDisconnected, or until its only final
// response: an AttemptEnded with Completed set, a Reject or a Fail.
type RequestArrived struct {
	RequestID         uint64 // unique; a retry by the client has another ID
	Class             string
	Tenant            string        // "": no tenant
	OrderKey          string        // ordering key; "": no ordering key
	Dataset           int64         // the data set that the request reads or writes
	Deadline          time.Duration // instant at which the client gives up
	EstimatedWork     time.Duration // sum over all threads; 0: no estimate
	EstimatedMemoryMB float64       // 0: no estimate
	ClientRetry       bool          // the client has marked the request as a retry
}

// Result is how an attempt ended.
type Result uint8

// The results of attempts. An attempt with ResultUnknown, the zero value, may have run.
const (
	ResultUnknown        Result = iota
	ResultServed                // the engine responded with the result
	ResultFailed                // the engine returned an error; may have run
	ResultOverloaded            // rejected by the engine; never ran
	ResultTimedOut              // no response in time; may still run
	ResultConnectFailed         // the connection could not be made; never ran
	ResultConnectionLost        // the connection broke; may have run
	ResultCancelled             // ended by CancelAttempt; may have run
	ResultNotSent               // not sent; never ran
)

// AttemptEnded ends one attempt; each StartAttempt gets exactly one.
type AttemptEnded struct {
	RequestID uint64
	Attempt   int // counted from 0
	Result    Result
	Elapsed   time.Duration // since the StartAttempt
	Completed bool          // the client has its response, or has disconnected
	Work      time.Duration // work that the request needed; 0: not reported by the engine
	MemoryMB  float64       // memory that the request needed; 0: not reported by the engine
	Load      LoadReport
}

// LoadReport is an engine's report of its load, which is delayed and noisy. A number is -1 if the engines of
// the deployment do not report it.
type LoadReport struct {
	Reported    bool    // false: there was no report
	CPUShare    float64 // share of its cores in use
	InFlight    float64 // requests in flight
	Queued      float64 // requests waiting for memory
	MemoryShare float64 // share of its memory that is granted
	DiskShare   float64 // share of its disks that is busy
}

// unreportedFigure is the value of a number in a LoadReport that engines do not report.
const unreportedFigure = -1

// UnreportedLoad returns a LoadReport without any reported number, for callers to fill in.
func UnreportedLoad() LoadReport {
	return LoadReport{
		CPUShare:    unreportedFigure,
		InFlight:    unreportedFigure,
		Queued:      unreportedFigure,
		MemoryShare: unreportedFigure,
		DiskShare:   unreportedFigure,
	}
}

// HealthChecked is the result of a CheckHealth.
type HealthChecked struct {
	Engine string
	Result Result // ResultServed if the engine responded
	Load   LoadReport
}

// ProgressKind is the kind of a progress report.
type ProgressKind uint8

// The kinds of ProgressReported, with the meaning of its Value.
const (
	ProgressFraction       ProgressKind = iota + 1 // running; value: rough share of the work done, 0 to 1
	ProgressSpilling                               // lacks memory; value: the missing memory in MB
	ProgressAwaitingMemory                         // waits for memory; no value
	ProgressAwaitingLoad                           // waits for a bulk load of its data set; no value
)

// ProgressReported is a progress report of an attempt in flight.
type ProgressReported struct {
	RequestID uint64
	Attempt   int
	Kind      ProgressKind
	Value     float64
}

// StreamStarted reports that a streamed response has begun. From then on the balancer neither cancels the
// attempt nor ends the request at its deadline.
type StreamStarted struct {
	RequestID uint64
	Attempt   int
}

// ClientDisconnected reports that the client has disconnected, so the request no longer needs a response.
type ClientDisconnected struct{ RequestID uint64 }

// TimerFired reports that the SetTimer with the same token is due.
type TimerFired struct{ Token uint64 }

// UpdateMode is how the balancer applies an EndpointsChanged.
type UpdateMode uint8

// The modes of EndpointsChanged.
const (
	UpdateFailed UpdateMode = iota // no entries: the poll failed or the subscription broke
	UpdateDelta                    // changed entries only
	UpdateFull                     // all engines; engines that are not listed are removed
	UpdateCached                   // like UpdateFull, but from a cache that may be stale
)

// EndpointsChanged is the endpoint list, or a change to it.
type EndpointsChanged struct {
	Mode    UpdateMode
	Engines []Engine
}

// EngineState is the state of an engine in the endpoint list.
type EngineState uint8

// The states of an engine. EngineRemoved is the zero value, since it is the most cautious state.
const (
	EngineRemoved EngineState = iota
	EngineDraining
	EngineReady
)

// Engine is one entry of the endpoint list.
type Engine struct {
	ID         string
	Zone       string
	Kind       string
	Cell       int64 // see ScopeCell
	CellKnown  bool  // false: Cell is not set
	State      EngineState
	StartedAt  time.Duration // latest start, by the engine's wall clock, which may be wrong
	StartKnown bool          // false: StartedAt is not set, and the entry begins no slow start
}

// DeadlineTimer returns the TimerFired that ends a request shortly before its deadline, unless its response is
// being streamed. The caller may pass it to Handle earlier to end the request at once.
func DeadlineTimer(requestID uint64) TimerFired { return TimerFired{Token: requestID + 1} }

// requestOfDeadline returns the request whose DeadlineTimer has the token.
func requestOfDeadline(token uint64) (requestID uint64) { return token - 1 }

func (RequestArrived) event()     {}
func (AttemptEnded) event()       {}
func (HealthChecked) event()      {}
func (ProgressReported) event()   {}
func (StreamStarted) event()      {}
func (ClientDisconnected) event() {}
func (TimerFired) event()         {}
func (EndpointsChanged) event()   {}
