package policy

import "time"

// Event is an input of a balancer: RequestArrived, AttemptEnded, HealthChecked, ProgressReported,
// StreamStarted, ClientDisconnected, TimerFired or EndpointsChanged.
type Event interface{ event() }

// RequestArrived is a new request. It is pending until its one final response: an AttemptEnded
// with Completed set, a Reject or a Fail; or until a ClientDisconnected.
type RequestArrived struct {
	RequestID         uint64 // never reused, not even for a retry by the client
	Class             string
	Tenant            string        // "": none
	OrderKey          string        // ordering key; "": none
	Dataset           int64         // the data set that it reads or writes
	Deadline          time.Duration // instant at which the client gives up
	EstimatedWork     time.Duration // of all its threads; 0: no estimate
	EstimatedMemoryMB float64       // 0: no estimate
	ClientRetry       bool          // the client marks it as a retry of its own
}

// Result is how an attempt ended.
type Result uint8

// The results of attempts. ResultUnknown, the zero value, counts as one that may have run.
const (
	ResultUnknown        Result = iota
	ResultServed                // the engine responded with the result
	ResultFailed                // the engine returned an error; may have run
	ResultOverloaded            // rejected by the engine; never ran
	ResultTimedOut              // no response in time; may run still
	ResultConnectFailed         // never reached the engine; never ran
	ResultConnectionLost        // the connection broke; may have run
	ResultCancelled             // ended by CancelAttempt; may have run
	ResultNotSent               // not sent at all; never ran
)

// AttemptEnded ends one attempt; each StartAttempt gets exactly one.
type AttemptEnded struct {
	RequestID uint64
	Attempt   int // counted from 0
	Result    Result
	Elapsed   time.Duration // since the StartAttempt
	Completed bool          // the client has its response, or has disconnected
	Work      time.Duration // that the request needed, where the engine reports it; else 0
	MemoryMB  float64       // the same
	Load      LoadReport
}

// LoadReport is an engine's report of its load, delayed and noisy. A figure that the deployment
// doesn't report is -1.
type LoadReport struct {
	Reported    bool    // false: there was no report
	CPUShare    float64 // share of its cores in use
	InFlight    float64 // requests
	Queued      float64 // requests waiting for memory
	MemoryShare float64 // share of memory granted
	DiskShare   float64 // share of disks busy
}

// unreportedFigure is the value of a figure that the deployment doesn't report.
const unreportedFigure = -1

// UnreportedLoad returns a report without any figure, for callers to fill in.
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
	Result Result // ResultServed where the engine responded
	Load   LoadReport
}

// ProgressKind is the kind of a progress report.
type ProgressKind uint8

// The kinds of ProgressReported, with the meaning of its Value.
const (
	ProgressFraction       ProgressKind = iota + 1 // it runs; value: rough share of the work done, 0 to 1
	ProgressSpilling                               // it lacks memory; value: the missing memory in MB
	ProgressAwaitingMemory                         // it waits for memory; no value
	ProgressAwaitingLoad                           // it waits for a bulk load of its data set; no value
)

// ProgressReported is a progress report of an attempt in flight.
type ProgressReported struct {
	RequestID uint64
	Attempt   int
	Kind      ProgressKind
	Value     float64
}

// StreamStarted says that a streamed response has begun. From then on the balancer neither cancels the
// attempt nor ends the request at its deadline.
type StreamStarted struct {
	RequestID uint64
	Attempt   int
}

// ClientDisconnected says that the client has disconnected: the request needs no response any more.
type ClientDisconnected struct{ RequestID uint64 }

// TimerFired says that the SetTimer with the same token is due.
type TimerFired struct{ Token uint64 }

// UpdateMode says how an endpoint list is to be read.
type UpdateMode uint8

// The modes of EndpointsChanged.
const (
	UpdateFailed UpdateMode = iota // the poll failed or the subscription broke: no entries
	UpdateDelta                    // changed entries only
	UpdateFull                     // all engines: others are removed
	UpdateCached                   // like UpdateFull, but from a cache that may be stale
)

// EndpointsChanged is the endpoint list, or a change to it.
type EndpointsChanged struct {
	Mode    UpdateMode
	Engines []Engine
}

// EngineState is the state of an engine in the endpoint list.
type EngineState uint8

// The states of an engine. EngineRemoved is the zero value, as the most cautious.
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
	State      EngineState
	StartedAt  time.Duration // latest start, by the engine's wall clock, which may be wrong
	StartKnown bool          // false: StartedAt is not set, and the engine is not warming up
}

// DeadlineTimer is the TimerFired that ends a request shortly before its deadline, unless its response is
// being streamed. A caller may pass it to Handle earlier, to end the request at once.
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
