package policy

import "time"

// Settings describe the deployment. They do not change while a balancer runs. No decision depends on
// OverQuotaWeight, MaxGrantShare, Goal, Penalties or the fields marked as not read by the balancer; they are
// here because the deployment's settings contain them.
type Settings struct {
	Replicas         int            // front ends that share the engines, this one included; at least 1
	Zone             string         // zone in which this balancer runs
	Classes          []Class        // request classes; at least one
	Kinds            []Kind         // kinds of machine that engines run on
	Tenants          []Tenant       // may be empty
	OverQuotaWeight  float64        // factor of the priority weight of a request beyond its tenant's quota
	ProgressInterval time.Duration  // between progress reports of an attempt; 0: engines send no reports
	MemoryGrants     bool           // engines apply the memory of SetResources
	Priorities       bool           // engines apply the priority of SetResources
	MaxGrantShare    float64        // largest share of an engine's memory that one request gets
	Shortage         MemoryShortage // what an engine does when its grants exceed its memory
	ReportsCost      bool           // responses state the work and memory that the request needed
	ReportsLoad      bool           // engines report their load, in responses or to health checks
	PullDiscovery    bool           // the caller gets the endpoint list only after a Subscribe
	TimerGranularity time.Duration  // granularity of the caller's timers
	Rules            Rules
	Limits           Limits
	Goal             Goal
	Penalties        Penalties
}

// MemoryShortage is what an engine does when its grants exceed its memory.
type MemoryShortage uint8

// The values of MemoryShortage. ShortageQueue is the zero value, since it is the default of the settings.
const (
	ShortageQueue MemoryShortage = iota // the request waits in the engine's queue
	ShortageTrim                        // the request gets the remaining memory, and spills to disk
	ShortageSwap                        // the request runs, and the engine slows down for all requests
)

// Effect is whether a request may run more than once.
type Effect uint8

// The values of Effect. NonIdempotent is the zero value, since it is the most cautious.
const (
	NonIdempotent   Effect = iota // may run at most once
	IdempotentByKey               // engines of one DedupScope drop duplicates within the DedupWindow
	Idempotent                    // may run any number of times
)

// DedupScope is the set of engines that drop duplicates of each other's idempotency keys.
type DedupScope uint8

// The values of DedupScope. ScopeCell is the zero value, since it is the most cautious.
const (
	ScopeCell DedupScope = iota // engines with the same Engine.Cell
	ScopeZone                   // engines in the same zone
	ScopeAll                    // all engines
)

// Class is one class of requests.
type Class struct {
	Name             string
	LatencyObjective time.Duration // a response within this has the full priority weight; above 0
	ObjectiveStretch float64       // the objective grows by this times the work per thread
	Deadline         time.Duration // time after which a client gives up; above 0
	PriorityWeight   float64       // value of a response within the objective
	LateWeight       float64       // value of a late response, as a share of PriorityWeight; not read by the balancer
	Threads          float64       // threads that a request runs on; 0: one
	Effect           Effect
	DedupScope       DedupScope    // for IdempotentByKey
	DedupWindow      time.Duration // for IdempotentByKey: how long duplicates are dropped
	Streaming        bool          // responses are streamed, see StreamStarted; not read by the balancer
	Ordered          bool          // requests of one ordering key run one at a time, in order of arrival
	BulkLoad         bool          // a request blocks its data set on its engine while it runs
	BlockedByLoad    bool          // a request waits while a bulk load blocks its data set
	Zones            []string      // zones in which a request may run; empty: all zones
	Kinds            []string      // kinds of machine on which a request may run; empty: all kinds
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

// Rules are bounds for all attempts and responses.
type Rules struct {
	ResponseSlack     time.Duration // longest delay of a final response after the deadline; not read by the balancer
	DrainGrace        time.Duration // latest start of an attempt after the notice of a drain; not read by the balancer
	WarmupCapacity    float64       // smallest share of its full capacity that an engine has when it starts
	WarmupTime        time.Duration // an engine has its full capacity no later than this after its start
	OverloadFactor    float64       // a warming engine fails beyond this multiple of its present capacity
	OverloadWindow    time.Duration // time over which the work sent to a warming engine is added up
	OrderSettleTime   time.Duration // pause of an ordering key after an attempt that may still run
	RetryBudgetMin    float64       // retries per RetryBudgetWindow that are always permitted
	RetryBudgetRatio  float64       // additional retries, as a share of the arrivals in the window
	RetryBudgetWindow time.Duration // 0: retries are not limited
	ResubscribeWithin time.Duration // a lapsed subscription must be renewed within this; not read by the balancer
}

// Limits are what the deployment permits.
type Limits struct {
	MaxAttempts    int           // for one request; 0: one
	Hedging        bool          // a request may have several attempts in flight
	Cancel         bool          // CancelAttempt is permitted
	HealthChecks   bool          // CheckHealth is permitted
	RetryAfter     bool          // rejections state when to retry
	MaxRetryAfter  time.Duration // the longest retry-after that clients wait for
	ConnectTimeout time.Duration // an attempt to connect fails within this; not read by the balancer
}

// Goal has the weights of the parts of the service level.
type Goal struct{ Total, WorstClass, WorstTenant, WorstWindow float64 }

// Penalties are the points of the service level that each unit of a side effect costs.
type Penalties struct{ CrossZone, Waste, LateFail, HealthCheck float64 }

// coresOf returns the cores of a kind, or 0 if the settings do not name the kind.
func (s *Settings) coresOf(kind string) (cores float64) {
	for _, k := range s.Kinds {
		if k.Name == kind {
			cores = k.Cores
		}
	}
	return cores
}
