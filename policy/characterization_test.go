package policy_test

import (
	"bytes"
	"path/filepath"
	"testing"
	"time"

	"flaxrelay/internal/golden"
	"flaxrelay/policy"
)

const (
	eventsPerScenario    = 6000 // events handled in each scenario
	checkpointInterval   = 250  // events between two lines of the golden file
	learnedStateInterval = 10   // events between two additions of the learned state to the digest
)

// scenario is a deployment that the characterization test simulates.
type scenario struct {
	name     string
	settings policy.Settings
	engines  int
	rate     float64 // arrivals a second
	speed    float64 // work done a second on one idle core, in seconds
	faults   float64 // share of attempts to which a fault happens
	estimate bool    // arrivals have estimates of work and memory
}

// TestBalancer_DecisionsAreUnchanged simulates each scenario, and compares a digest with the one in the golden file.
// The digest covers all actions and, every ten events, all values that the balancer has learned, bit for bit. A change
// of any decision, of the order of random draws or of a floating-point operation shows as a difference. The
// digest leaves out the fields of EngineEjected and EngineReadmitted.
func TestBalancer_DecisionsAreUnchanged(t *testing.T) {
	var got bytes.Buffer
	for _, s := range scenarios() {
		newSimulation(t, s).run(t, &got)
	}
	path := filepath.Join("testdata", "decisions.golden")
	golden.Compare(t, path, got.Bytes())
}

// scenarios returns the scenarios of the golden file. Their names must not change, since the golden file contains them
// and the length of each name seeds the random numbers.
func scenarios() []scenario {
	plain := characterizationSettings()
	quotas := characterizationSettings()
	quotas.Tenants = []policy.Tenant{{Name: "north", Quota: 40, Share: 0.6}, {Name: "south", Quota: 15, Share: 0.4}}
	quotas.OverQuotaWeight = 0.2
	quotas.Shortage = policy.ShortageTrim
	swapping := characterizationSettings()
	swapping.Shortage = policy.ShortageSwap
	swapping.ReportsCost = true
	swapping.ReportsLoad = true
	swapping.Priorities = true
	swapping.Limits.Cancel = false
	swapping.Limits.MaxAttempts = 3
	healthChecks := characterizationSettings()
	healthChecks.ReportsLoad = true
	healthChecks.PullDiscovery = true
	healthChecks.Limits.HealthChecks = true
	healthChecks.MemoryGrants = true
	healthChecks.Priorities = true
	healthChecks.MaxGrantShare = 0.5
	noProgress := characterizationSettings()
	noProgress.ProgressInterval = 0
	noProgress.ReportsLoad = true
	retryBudget := characterizationSettings()
	retryBudget.Rules.RetryBudgetWindow = 2 * time.Second
	retryBudget.Rules.RetryBudgetMin = 3
	retryBudget.Rules.RetryBudgetRatio = 0.1
	retryBudget.Limits.RetryAfter = false
	manyReplicas := characterizationSettings()
	manyReplicas.Replicas = 60
	manyReplicas.ReportsLoad = true
	manyReplicas.ReportsCost = true
	manyReplicas.Shortage = policy.ShortageSwap
	hedging := characterizationSettings()
	hedging.Limits.Hedging = true
	hedging.Replicas = 1
	hedging.MemoryGrants = true
	return []scenario{
		{name: "plain", settings: plain, engines: 6, rate: 60, speed: 1, faults: 0.02},
		{name: "tenants", settings: quotas, engines: 5, rate: 90, speed: 1, faults: 0.05, estimate: true},
		{name: "paging", settings: swapping, engines: 8, rate: 50, speed: 0.7, faults: 0.1},
		{name: "probing", settings: healthChecks, engines: 6, rate: 70, speed: 1, faults: 0.05, estimate: true},
		{name: "no-notes", settings: noProgress, engines: 5, rate: 60, speed: 0.8, faults: 0.1},
		{name: "rationed", settings: retryBudget, engines: 4, rate: 60, speed: 1, faults: 0.3},
		{name: "many-gateways", settings: manyReplicas, engines: 12, rate: 12, speed: 1, faults: 0.1},
		{name: "copies", settings: hedging, engines: 5, rate: 80, speed: 0.8, faults: 0.15, estimate: true},
	}
}

func characterizationSettings() policy.Settings {
	const second, msec = time.Second, time.Millisecond
	return policy.Settings{
		Replicas: 3, Zone: "a", ProgressInterval: 500 * msec, TimerGranularity: 5 * msec,
		Kinds: []policy.Kind{{Name: "small", Cores: 4, MemoryMB: 4096}, {Name: "large", Cores: 8, MemoryMB: 8192}},
		Classes: []policy.Class{
			{
				Name: "lookup", LatencyObjective: 300 * msec, ObjectiveStretch: 1.5, Deadline: 2 * second,
				PriorityWeight: 1, Threads: 1, Effect: policy.Idempotent,
			},
			{
				Name: "report", LatencyObjective: 3 * second, ObjectiveStretch: 2.5, Deadline: 15 * second,
				PriorityWeight: 10, LateWeight: 0.3, Threads: 3, Effect: policy.Idempotent,
			},
			{
				Name: "write", LatencyObjective: second, Deadline: 6 * second, PriorityWeight: 5, Threads: 2,
				Effect: policy.NonIdempotent,
			},
			{
				Name: "keyed", LatencyObjective: second, Deadline: 6 * second, PriorityWeight: 5, Threads: 2,
				Effect: policy.IdempotentByKey, DedupScope: policy.ScopeCell, DedupWindow: 2 * second,
			},
			{
				Name: "keyed-zone", LatencyObjective: second, Deadline: 6 * second, PriorityWeight: 2, Threads: 1,
				Effect: policy.IdempotentByKey, DedupScope: policy.ScopeZone, DedupWindow: second,
			},
			{
				Name: "keyed-all", LatencyObjective: second, Deadline: 6 * second, PriorityWeight: 2, Threads: 1,
				Effect: policy.IdempotentByKey, DedupScope: policy.ScopeAll, DedupWindow: second,
			},
			{
				Name: "ordered", LatencyObjective: second, Deadline: 6 * second, PriorityWeight: 1, Threads: 1,
				Effect: policy.Idempotent, Ordered: true,
			},
			{
				Name: "ordered-write", LatencyObjective: second, Deadline: 6 * second, PriorityWeight: 3, Threads: 1,
				Effect: policy.NonIdempotent, Ordered: true,
			},
			{
				Name: "load", LatencyObjective: 4 * second, Deadline: 12 * second, PriorityWeight: 4, Threads: 2,
				Effect: policy.Idempotent, BulkLoad: true,
			},
			{
				Name: "reader", LatencyObjective: second, Deadline: 5 * second, PriorityWeight: 2, Threads: 1,
				Effect: policy.Idempotent, BlockedByLoad: true,
			},
			{
				Name: "stream", LatencyObjective: 2 * second, Deadline: 8 * second, PriorityWeight: 2, Threads: 1,
				Effect: policy.Idempotent, Streaming: true,
			},
			{
				Name: "placed", LatencyObjective: second, Deadline: 5 * second, PriorityWeight: 1, Threads: 1,
				Effect: policy.Idempotent, Zones: []string{"b"}, Kinds: []string{"large"},
			},
		},
		Rules: policy.Rules{
			ResponseSlack: 20 * msec, DrainGrace: 500 * msec, WarmupCapacity: 0.3, WarmupTime: 10 * second,
			OverloadFactor: 2.5, OverloadWindow: 3 * second, OrderSettleTime: 700 * msec, ResubscribeWithin: second,
		},
		Limits: policy.Limits{
			MaxAttempts: 3, Cancel: true, RetryAfter: true, MaxRetryAfter: 2 * second, ConnectTimeout: 200 * msec,
		},
	}
}
