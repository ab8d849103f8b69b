package policy

import "time"

// Settings describe the deployment. They don't change while a balancer runs. No decision reads
// OverQuotaWeight, MaxGrantShare, Goal, Penalties or the fields whose comments say so; they are here
// because the deployment's settings contain them.
type Settings struct {
	Replicas         int            // front ends that share the engines, this one included; at least 1
	Zone             string         // where this balancer runs
	Classes          []Class        // request classes; at least one
	Kinds            []Kind         // kinds of machine that engines run on
	Tenants          []Tenant       // may be empty
	OverQuotaWeight  float64        // factor of the priority weight of a request beyond its tenant's quota
	ProgressInterval time.Duration  // between progress reports of an attempt; 0: engines send none
	MemoryGrants     bool           // engines heed the memory of SetResources
	Priorities       bool           // engines heed the priority of SetResources
	MaxGrantShare    float64        // share of an engine's memory that one request gets at most
	Shortage         MemoryShortage // what an engine does when its grants exceed its memory
	ReportsCost      bool           // responses state the work and memory that the request needed
	ReportsLoad      bool           // engines report their load, in responses or to health checks
	PullDiscovery    bool           // the endpoint list must be subscribed to (Subscribe)
	TimerGranularity time.Duration  // granularity of the caller's timers
	Rules            Rules
	Limits           Limits
	Goal             Goal
	Penalties        Penalties
}

// MemoryShortage says what an engine does when its grants exceed its memory.
type MemoryShortage uint8

// The kinds of MemoryShortage.
const (
	ShortageQueue MemoryShortage = iota // the request waits in the engine's queue
	ShortageTrim                        // the request gets what is left, and spills to disk
	ShortageSwap                        // the request runs, and the engine slows down for all requests
)

// Effect says whether a request may run more than once.
type Effect uint8

// The kinds of Effect. NonIdempotent is the zero value, as the most cautious.
const (
	NonIdempotent   Effect = iota // may run once at most
	IdempotentByKey               // engines of one DedupScope drop duplicates for a while
	Idempotent                    // may run any number of times
)

// DedupScope is the set of engines that drop duplicates of each other's idempotency keys.
type DedupScope uint8

// The sizes of DedupScope. ScopeCell is the zero value, as the most cautious.
const (
	ScopeCell DedupScope = iota
	ScopeZone
	ScopeAll
)

// Class is one class of requests.
type Class struct {
	Name             string
	LatencyObjective time.Duration // a response within this earns the full priority weight; above 0
	ObjectiveStretch float64       // the objective grows by this times work over threads
	Deadline         time.Duration // time after which a client gives up; above 0
	PriorityWeight   float64       // of one response in time
	LateWeight       float64       // share of the priority weight that a late response earns; not read by the balancer
	Threads          float64       // threads that a request runs on; 0: one
	Effect           Effect
	DedupScope       DedupScope    // for IdempotentByKey
	DedupWindow      time.Duration // for IdempotentByKey: how long duplicates are dropped
	Streaming        bool          // responses are streamed (StreamStarted); not read by the balancer
	Ordered          bool          // requests of one ordering key run one at a time, in order of arrival
	BulkLoad         bool          // blocks its data set on its engine while it runs
	BlockedByLoad    bool          // waits while a bulk load blocks its data set
	Zones            []string      // where it may run; empty: anywhere
	Kinds            []string      // on what kinds it may run; empty: on any
}

// Kind is one kind of machine that engines run on.
type Kind struct {
	Name     string
	Cores    float64 // above 0
	MemoryMB float64 // not read by the balancer
}

// Tenant is one customer.
type Tenant struct {
	Name  string
	Quota float64 // requests a second, over all front ends
	Share float64 // its share of the service; not read by the balancer
}

// Rules are the bounds that every attempt and every response must observe.
type Rules struct {
	ResponseSlack     time.Duration // how late a final response may come
	DrainGrace        time.Duration // no attempt starts later after the notice of a drain; not read by the balancer
	WarmupCapacity    float64       // least share of its full capacity that an engine has when it starts
	WarmupTime        time.Duration // an engine has its full capacity no later than this after its start
	OverloadFactor    float64       // a warming engine fails beyond this multiple of its present capacity
	OverloadWindow    time.Duration // the time over which the work sent to it is summed up for that
	OrderSettleTime   time.Duration // pause of an ordering key after an attempt that may still run
	RetryBudgetMin    float64       // retries per RetryBudgetWindow that are always permitted
	RetryBudgetRatio  float64       // further ones, as a share of the window's arrivals
	RetryBudgetWindow time.Duration // 0: retries have no budget
	ResubscribeWithin time.Duration // a lapsed subscription must be renewed within this; not read by the balancer
}

// Limits say what the deployment permits.
type Limits struct {
	MaxAttempts    int           // for one request; 0: one
	Hedging        bool          // two attempts of a request at once are permitted
	Cancel         bool          // CancelAttempt is permitted
	HealthChecks   bool          // CheckHealth is permitted
	RetryAfter     bool          // rejections state when to retry
	MaxRetryAfter  time.Duration // the longest that clients honour
	ConnectTimeout time.Duration // a failed connection attempt shows within this; not read by the balancer
}

// Goal weighs the parts of the service level; Penalties are points of it.
type Goal struct{ Total, WorstClass, WorstTenant, WorstWindow float64 }

// Penalties are what each unit of a side effect takes off the goal.
type Penalties struct{ CrossZone, Waste, LateFail, HealthCheck float64 }

// coresOf returns the cores of a kind, or 0 if the settings don't name it.
func (s *Settings) coresOf(kind string) (cores float64) {
	for _, k := range s.Kinds {
		if k.Name == kind {
			cores = k.Cores
		}
	}
	return cores
}
