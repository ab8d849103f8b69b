package config

// settingsObject is the JSON settings object: the value of "settings" in the platform's configuration
// and in INIT of the simulator's protocol. Other keys are ignored. Fields whose names end in MS are
// fractional milliseconds.
type settingsObject struct {
	Replicas           int                `json:"balancers"`
	Zone               string             `json:"zone"`
	Classes            []classObject      `json:"classes"`
	Kinds              []string           `json:"kinds"`
	Zones              []string           `json:"zones"`
	Tenants            []tenantObject     `json:"projects"`
	OverQuotaWeight    float64            `json:"over-share-worth"`
	DiscoveryMode      string             `json:"membership-mode"`
	TimerGranularityMS float64            `json:"round-ms"`
	Goal               goalObject         `json:"goal"`
	Penalties          penaltiesObject    `json:"costs"`
	LoadReport         loadReportObject   `json:"report"`
	Contract           contractObject     `json:"contract"`
	Limits             policyLimitsObject `json:"limits"`
	Extra              extraObject        `json:"extra"`
}

// classObject is a class of requests.
type classObject struct {
	Name               string   `json:"name"`
	LatencyObjectiveMS float64  `json:"aim-ms"`
	ObjectiveStretch   float64  `json:"aim-stretch"`
	DeadlineMS         float64  `json:"hard-limit-ms"`
	Effect             string   `json:"effect"`
	DedupScope         string   `json:"group"`
	PriorityWeight     float64  `json:"importance"`
	LateWeight         float64  `json:"late-share"`
	Streaming          bool     `json:"streamed"`
	DedupWindowMS      float64  `json:"window-ms"`
	Ordered            bool     `json:"in-order"`
	Zones              []string `json:"runs-in"`
	Kinds              []string `json:"kinds-open"`
}

// tenantObject is a tenant with its quota.
type tenantObject struct {
	Name  string  `json:"name"`
	Quota float64 `json:"quota-per-s"`
	Share float64 `json:"share"`
}

// goalObject contains the weights of the parts of the service level.
type goalObject struct {
	Total       float64 `json:"whole"`
	WorstClass  float64 `json:"worst-class"`
	WorstTenant float64 `json:"worst-tenant"`
	WorstWindow float64 `json:"worst-window"`
}

// penaltiesObject contains the penalty for one unit of each side effect, in points of the service level.
type penaltiesObject struct {
	CrossZone   float64 `json:"cross-zone"`
	Waste       float64 `json:"waste"`
	LateFail    float64 `json:"late-fail"`
	HealthCheck float64 `json:"probe"`
}

// loadReportObject defines how engines report their load, and contains the names of the reported values.
type loadReportObject struct {
	Transport string   `json:"how"`
	Names     []string `json:"names"`
}

// contractObject contains the rules that front ends and engines have agreed on.
type contractObject struct {
	ResponseSlackMS     float64 `json:"answer-slack-ms"`
	ResubscribeWithinMS float64 `json:"ask-within-ms"`
	WarmupTimeMS        float64 `json:"cold-ms"`
	OverloadWindowMS    float64 `json:"fall-ms"`
	WarmupCapacity      float64 `json:"start-capacity"`
	DrainGraceMS        float64 `json:"stop-sending-within-ms"`
	OverloadFactor      float64 `json:"tip-multiple"`
	OrderSettleTimeMS   float64 `json:"settle-after-doubt-ms"`
	RetryBudgetMin      float64 `json:"extra-free"`
	RetryBudgetRatio    float64 `json:"resend-ratio"`
	RetryBudgetWindowMS float64 `json:"look-back-ms"`
}

// policyLimitsObject limits what a front end may do with a request and with connections to engines.
type policyLimitsObject struct {
	Cancel           bool    `json:"cancel"`
	HealthChecks     bool    `json:"may-probe"`
	ConnectTimeoutMS float64 `json:"connect-timeout-ms"`
	IdleCloseMS      float64 `json:"idle-close-ms"`
	MaxStreams       int     `json:"max-streams"`
	MaxRetryAfterMS  float64 `json:"max-retry-after-ms"`
	MaxAttempts      int     `json:"most-tries"`
	RetryAfter       bool    `json:"retry-after"`
	Hedging          bool    `json:"second-copies"`
}

// extraObject contains properties of engines beyond the common protocol. The elements of its lists
// belong to the kinds or classes that have the same index. The lists may be shorter than those of kinds
// or classes.
type extraObject struct {
	CoresByKind        []float64 `json:"cores-by-kind"`
	MemoryMBByKind     []float64 `json:"memory-by-kind-mb"`
	MaxGrantShare      float64   `json:"grant-cap"`
	MemoryGrants       bool      `json:"grants-count"`
	BulkLoad           []bool    `json:"is-load"`
	Threads            []float64 `json:"parallelism"`
	Priorities         bool      `json:"takes-priority"`
	ReportsCost        bool      `json:"tells-cost"`
	ProgressIntervalMS float64   `json:"tells-every-ms"`
	Shortage           string    `json:"when-short"`
	BlockedByLoad      []bool    `json:"yields-to-loads"`
}
