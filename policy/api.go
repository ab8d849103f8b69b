// Package policy decides, for one front, when and on which analytic engine
// each query runs. A Gateway is a pure state machine: it reads no clock, does
// no I/O and starts no goroutine. One goroutine at a time may call a Gateway.
//
// This file is the interface; every decision is in policy.go.
package policy

import "time"

// All instants are durations since one arbitrary origin of the caller's
// choosing; the clock given to Handle must never go back.

// Settings is what a gateway knows of its deployment from the start.
type Settings struct {
	Replicas         int            // gateways that share the engines, this one included; at least 1
	Zone             string         // where this gateway runs
	Classes          []Class        // classes of query; at least one
	Kinds            []Kind         // kinds of machine that engines run on
	Tenants          []Tenant       // may be empty
	OverQuotaWeight  float64        // worth of a query beyond its tenant's share, of the usual worth
	ProgressInterval time.Duration  // interval of notes on running attempts; 0: no notes
	MemoryGrants     bool           // engines heed the memory in Grant
	Priorities       bool           // engines heed the priority in Grant
	MaxGrantShare    float64        // share of an engine's memory that one query gets at most
	Shortage         MemoryShortage // what an engine does when the grants pass its memory
	ReportsCost      bool           // answers tell the work and memory that the query needed
	ReportsLoad      bool           // engines report their load, in answers or to probes
	PullDiscovery    bool           // the engine list must be subscribed to (Subscribe)
	TickInterval     time.Duration  // usual spacing of calls
	Rules            Rules
	Limits           Limits
	Goal             Goal
	Penalties        Penalties
}

// MemoryShort says what happens when the grants pass an engine's memory.
type MemoryShortage uint8

// The three meanings of short memory.
const (
	ShortageQueue MemoryShortage = iota // the query waits in the engine's line
	ShortageTrim                        // it gets what is left, and spills
	ShortageSwap                        // it is let in, and all slow down
)

// Effect says how far a query may be repeated.
type Effect uint8

// The three kinds of effect. Unsafe is the zero value: the most cautious.
const (
	NonIdempotent   Effect = iota // may run once at most
	IdempotentByKey               // engines of one group drop repeats for a while
	Idempotent                    // may be repeated freely
)

// Group is the set of engines that drop each other's repeats of a keyed query.
type DedupScope uint8

// The three sizes of group. GroupCell is the zero value: the most cautious.
const (
	ScopeCell DedupScope = iota
	ScopeZone
	ScopeAll
)

// Class is one class of query.
type Class struct {
	Name             string
	LatencyObjective time.Duration // an answer within this earns full worth; above 0
	ObjectiveStretch float64       // the aim grows by this times work over threads
	Deadline         time.Duration // a client's whole patience; above 0
	PriorityWeight   float64       // of one answer in time
	LateWeight       float64       // share of the worth that a late answer earns
	Threads          float64       // threads that a query runs on; above 0
	Effect           Effect
	DedupScope       DedupScope    // for Keyed
	DedupWindow      time.Duration // for Keyed: how long repeats are dropped
	Streaming        bool          // answers are streamed: Began tells their start
	Ordered          bool          // queries of one key run one at a time, in turn
	BulkLoad         bool          // holds its data set on its engine while it runs
	BlockedByLoad    bool          // stands still while a load holds its data set
	Zones            []string      // where it may run; empty: anywhere
	Kinds            []string      // on what kinds it may run; empty: on any
}

// Kind is one kind of machine.
type Kind struct {
	Name     string
	Cores    float64 // above 0
	MemoryMB float64
}

// Tenant is one customer.
type Tenant struct {
	Name  string
	Quota float64 // queries a second within its share, over all gateways
	Share float64 // its share of the service
}

// Rules are the figures of the rules that every send and answer keeps.
type Rules struct {
	ResponseSlack     time.Duration // how late a final answer may come
	DrainGrace        time.Duration // sends to a drained engine must stop within this
	WarmupCapacity    float64       // least share of capacity that a fresh engine has
	WarmupTime        time.Duration // and it is warm no later than this
	OverloadFactor    float64       // a cold engine sent more than this multiple of its capacity
	OverloadWindow    time.Duration // for this long falls over
	OrderSettleTime   time.Duration // rest of an order key after an attempt in doubt
	RetryBudgetMin    float64       // further attempts within LookBack whatever the traffic
	RetryBudgetRatio  float64       // plus this share of the queries taken within it
	RetryBudgetWindow time.Duration // 0: further attempts are not rationed
	ResubscribeWithin time.Duration // a lapsed subscription must be renewed within this
}

// Limits say what the deployment permits.
type Limits struct {
	MaxAttempts    int           // attempts for one query at most; 0: one
	Hedging        bool          // two attempts at once are permitted
	Cancel         bool          // Cancel is permitted
	HealthChecks   bool          // Probe is permitted
	RetryAfter     bool          // clients hear when to come back
	MaxRetryAfter  time.Duration // and honour at most this
	ConnectTimeout time.Duration // a failed connect shows within this
}

// Goal weighs the parts of the service; Prices are points of it.
type Goal struct{ Total, WorstClass, WorstTenant, WorstWindow float64 }

// Prices are what each unit of a side effect takes off the goal.
type Penalties struct{ CrossZone, Waste, LateFail, HealthCheck float64 }

// Event is what a gateway is told: Arrive, Outcome, Probed, Note, Began, Gone, Timer or Engines.
type Event interface{ event() }

// Arrive is a new query. One final answer is owed from here on: the Outcome
// with Final set, a Refuse or a Fail.
type RequestArrived struct {
	RequestID         uint64 // never used again, also not by a client's next try
	Class             string
	Tenant            string        // "": none
	OrderKey          string        // order key of its class; "": none
	Dataset           int64         // data set that it reads or writes
	Deadline          time.Duration // instant at which the client gives up
	EstimatedWork     time.Duration // estimate of the work of all its threads; 0: none
	EstimatedMemoryMB float64       // estimate of its memory; 0: none
	ClientRetry       bool          // the client marks it as a repeat
}

// Result is how an attempt ended.
type Result uint8

// Results. Unknown, the zero value, is read as one that may have run.
const (
	ResultUnknown        Result = iota
	ResultServed                // answered; the first one answers the client
	ResultFailed                // the engine returned an error; may have run
	ResultOverloaded            // turned away; never ran
	ResultTimedOut              // no answer in time; may run still
	ResultConnectFailed         // never reached the engine; never ran
	ResultConnectionLost        // the connection broke; may have run
	ResultCancelled             // given up by Cancel; may have run
	ResultNotSent               // not sent at all; never ran
)

// Outcome ends one attempt; each Send gets exactly one.
type AttemptEnded struct {
	RequestID uint64
	Attempt   int // counted from 0
	Result    Result
	Elapsed   time.Duration // since the Send
	Completed bool          // the client has its answer: nothing more is owed
	Work      time.Duration // that the query needed, where told; else 0
	MemoryMB  float64       // that it needed, where told
	Load      LoadReport
}

// Load is an engine's report of its load, late and noisy. Told is false
// where there was none; a field that the deployment does not report is -1.
type LoadReport struct {
	Reported    bool
	CPUShare    float64 // share of its cores in use
	InFlight    float64 // queries in hand
	Queued      float64 // queries waiting for memory
	MemoryShare float64 // share of memory granted
	DiskShare   float64 // share of disks busy
}

// Probed is the answer to a Probe, or word that none came.
type HealthChecked struct {
	Engine string
	Result Result // Served where the engine answered
	Load   LoadReport
}

// NoteKind is what a note says.
type ProgressKind uint8

// Kinds of note.
const (
	ProgressFraction ProgressKind = iota + 1 // Value: share done, rough
	ProgressSpilling                         // Value: MB missing
	ProgressAwaitingMemory
	ProgressAwaitingLoad
)

// Note is word of an attempt that is out.
type ProgressReported struct {
	RequestID uint64
	Attempt   int
	Kind      ProgressKind
	Value     float64
}

// Began says that a streamed answer has started; its deadline no longer runs.
type StreamStarted struct {
	RequestID uint64
	Attempt   int
}

// Gone says that the client has left: nothing more is owed.
type ClientDisconnected struct{ RequestID uint64 }

// Timer is a Wake that is due.
type TimerFired struct{ Token uint64 }

// ListMode says how an engine list is to be read.
type UpdateMode uint8

// Modes of list.
const (
	UpdateFailed UpdateMode = iota // asking failed or the subscription broke: no entries
	UpdateDelta                    // changed entries only
	UpdateFull                     // all engines; others are gone
	UpdateCached                   // all engines as last held, maybe stale
)

// Engines is the engine list, or a change to it.
type EndpointsChanged struct {
	Mode    UpdateMode
	Engines []Engine
}

// EngineState is what the list says of an engine.
type EngineState uint8

// States of an engine. EngineGone is the zero value: the most cautious.
const (
	EngineRemoved EngineState = iota
	EngineDraining
	EngineReady
)

// Engine is one entry of the list.
type Engine struct {
	ID         string
	Zone       string
	Kind       string
	Cell       int64
	State      EngineState
	StartedAt  time.Duration // instant of its latest start
	StartKnown bool          // Started is known; false: long ago
}

// TimeUp is the Timer that ends a query at its deadline. A caller may give it sooner.
func DeadlineTimer(query uint64) TimerFired { return TimerFired{Token: query + 1} }

func (RequestArrived) event()     {}
func (AttemptEnded) event()       {}
func (HealthChecked) event()      {}
func (ProgressReported) event()   {}
func (StreamStarted) event()      {}
func (ClientDisconnected) event() {}
func (TimerFired) event()         {}
func (EndpointsChanged) event()   {}

// Action is what the caller must do, in the order given: Send, Grant, Cancel,
// Probe, Refuse, Fail, Wake, Subscribe or Log.
type Action interface{ action() }

// Send hands a query to an engine as its next attempt.
type StartAttempt struct {
	RequestID uint64
	Engine    string
	Timeout   time.Duration // the attempt's time-out; above 0
}

// Grant sets memory and priority of a query's sends from here on, and the
// priority of attempts that are out.
type SetResources struct {
	RequestID uint64
	MemoryMB  float64 // 0: the engine chooses
	Priority  int     // 0 to 3; 1 is usual
}

// Cancel gives up one attempt; its Outcome follows.
type CancelAttempt struct {
	RequestID uint64
	Attempt   int
}

// Probe asks an engine for its load; Probed follows.
type CheckHealth struct{ Engine string }

// Refuse is a final answer: trying again is harmless.
type Reject struct {
	RequestID  uint64
	RetryAfter time.Duration // not before this long from now; 0: unsaid
	Reason     RejectReason
}

// Why says what kept a refused query from an engine: where it was kept from several by
// different things, the one that came nearest to letting it go.
type RejectReason uint8

// What a query is refused for.
const (
	ReasonUnknownClass      RejectReason = iota // no such class
	ReasonNoEndpoint                            // the list has no engine that it may go to
	ReasonEjected                               // those left are silent or fail
	ReasonAttemptsExhausted                     // a rule forbids another attempt
	ReasonEngineLimit                           // it fits no engine's bound
	ReasonSlowStart                             // those left are cold, and this gateway's part of their budget is spent
	ReasonFleetLimit                            // it doesn't fit the bound of all engines
	ReasonRetryFutile                           // tried, and too late or in vain to try again
	ReasonDeadline                              // its time is up
)

var rejectReasonNames = [...]string{
	"unknown-class", "no-endpoint", "ejected", "attempts-exhausted", "engine-limit", "slow-start", "fleet-limit",
	"retry-futile", "deadline",
}

func (w RejectReason) String() string { return rejectReasonNames[w] }

// Fail is a final answer that promises nothing.
type Fail struct{ RequestID uint64 }

// Wake asks for a Timer with the same token.
type SetTimer struct {
	After time.Duration
	Token uint64
}

// Subscribe asks for the engine list and its changes.
type Subscribe struct{}

// Log is a line for the people on call.
type Log struct{ Message string }

func (StartAttempt) action()  {}
func (SetResources) action()  {}
func (CancelAttempt) action() {}
func (CheckHealth) action()   {}
func (Reject) action()        {}
func (Fail) action()          {}
func (SetTimer) action()      {}
func (Subscribe) action()     {}
func (Log) action()           {}
