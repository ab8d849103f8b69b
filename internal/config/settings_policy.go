package config

import (
	"fmt"

	"flaxrelay/policy"
)

// Values of the settings object.
const (
	pullDiscovery  = "on_request" // value of membership-mode
	noReportedLoad = "silent"     // value of report.how
)

// Problems of fields.
const (
	// unknownValueText is the problem of a field whose value is not one of the defined values.
	unknownValueText = "unknown value %q"
	// noClassesText is the problem of an empty or missing list of classes.
	noClassesText = "there must be at least one class"
)

// effects maps the values of the key "effect" in the settings object to the effects of classes.
var effects = map[string]policy.Effect{
	"read_like":       policy.Idempotent,
	"idempotency_key": policy.IdempotentByKey,
	"non_idempotent":  policy.NonIdempotent,
}

// dedupScopes maps the values of the key "group" in the settings object to scopes of deduplication.
var dedupScopes = map[string]policy.DedupScope{
	"all":  policy.ScopeAll,
	"zone": policy.ScopeZone,
	"cell": policy.ScopeCell,
	"":     policy.ScopeCell, // the default
}

// memoryShortages maps the values of the key "when-short" in the settings object to the behaviors of
// engines that are short of memory.
var memoryShortages = map[string]policy.MemoryShortage{
	"queue": policy.ShortageQueue,
	"trim":  policy.ShortageTrim,
	"swap":  policy.ShortageSwap,
	"":      policy.ShortageQueue, // the default
}

// lookUp translates the value of a field. It returns a FieldError if the table does not contain the
// value.
func lookUp[T any](table map[string]T, field, value string) (T, error) {
	translated, known := table[value]
	if !known {
		return translated, FieldError{Field: field, Problem: fmt.Sprintf(unknownValueText, value)}
	}
	return translated, nil
}

// policySettings translates the settings object into the settings of package policy.
func (o *settingsObject) policySettings() (policy.Settings, error) {
	shortage, err := lookUp(memoryShortages, "extra.when-short", o.Extra.Shortage)
	if err != nil {
		return policy.Settings{}, err
	}
	classes, err := o.policyClasses()
	if err != nil {
		return policy.Settings{}, err
	}
	return policy.Settings{
		Replicas:         o.Replicas,
		Zone:             o.Zone,
		Classes:          classes,
		Kinds:            o.policyKinds(),
		Tenants:          o.policyTenants(),
		OverQuotaWeight:  o.OverQuotaWeight,
		ProgressInterval: FromMilliseconds(o.Extra.ProgressIntervalMS),
		MemoryGrants:     o.Extra.MemoryGrants,
		Priorities:       o.Extra.Priorities,
		MaxGrantShare:    o.Extra.MaxGrantShare,
		Shortage:         shortage,
		ReportsCost:      o.Extra.ReportsCost,
		ReportsLoad:      len(o.LoadReport.Names) > 0 && o.LoadReport.Transport != noReportedLoad,
		PullDiscovery:    o.DiscoveryMode == pullDiscovery,
		TimerGranularity: FromMilliseconds(o.TimerGranularityMS),
		Rules:            o.Contract.policyRules(),
		Limits:           o.Limits.policyLimits(),
		Goal: policy.Goal{
			Total:       o.Goal.Total,
			WorstClass:  o.Goal.WorstClass,
			WorstTenant: o.Goal.WorstTenant,
			WorstWindow: o.Goal.WorstWindow,
		},
		Penalties: policy.Penalties{
			CrossZone:   o.Penalties.CrossZone,
			Waste:       o.Penalties.Waste,
			LateFail:    o.Penalties.LateFail,
			HealthCheck: o.Penalties.HealthCheck,
		},
	}, nil
}

func (o *settingsObject) policyClasses() ([]policy.Class, error) {
	var classes []policy.Class
	for i := range o.Classes {
		class := &o.Classes[i]
		effect, err := lookUp(effects, fmt.Sprintf("classes[%d].effect", i), class.Effect)
		if err != nil {
			return nil, err
		}
		scope, err := lookUp(dedupScopes, fmt.Sprintf("classes[%d].group", i), class.DedupScope)
		if err != nil {
			return nil, err
		}
		classes = append(classes, policy.Class{
			Name:             class.Name,
			LatencyObjective: FromMilliseconds(class.LatencyObjectiveMS),
			ObjectiveStretch: class.ObjectiveStretch,
			Deadline:         FromMilliseconds(class.DeadlineMS),
			PriorityWeight:   class.PriorityWeight,
			LateWeight:       class.LateWeight,
			Threads:          elementOrZero(o.Extra.Threads, i),
			Effect:           effect,
			DedupScope:       scope,
			DedupWindow:      FromMilliseconds(class.DedupWindowMS),
			Streaming:        class.Streaming,
			Ordered:          class.Ordered,
			BulkLoad:         elementOrZero(o.Extra.BulkLoad, i),
			BlockedByLoad:    elementOrZero(o.Extra.BlockedByLoad, i),
			Zones:            class.Zones,
			Kinds:            class.Kinds,
		})
	}
	return classes, nil
}

func (o *settingsObject) policyKinds() []policy.Kind {
	var kinds []policy.Kind
	for i, name := range o.Kinds {
		kinds = append(kinds, policy.Kind{
			Name:     name,
			Cores:    elementOrZero(o.Extra.CoresByKind, i),
			MemoryMB: elementOrZero(o.Extra.MemoryMBByKind, i),
		})
	}
	return kinds
}

func (o *settingsObject) policyTenants() []policy.Tenant {
	var tenants []policy.Tenant
	for _, tenant := range o.Tenants {
		tenants = append(tenants, policy.Tenant{Name: tenant.Name, Quota: tenant.Quota, Share: tenant.Share})
	}
	return tenants
}

func (o *contractObject) policyRules() policy.Rules {
	return policy.Rules{
		ResponseSlack:     FromMilliseconds(o.ResponseSlackMS),
		DrainGrace:        FromMilliseconds(o.DrainGraceMS),
		WarmupCapacity:    o.WarmupCapacity,
		WarmupTime:        FromMilliseconds(o.WarmupTimeMS),
		OverloadFactor:    o.OverloadFactor,
		OverloadWindow:    FromMilliseconds(o.OverloadWindowMS),
		OrderSettleTime:   FromMilliseconds(o.OrderSettleTimeMS),
		RetryBudgetMin:    o.RetryBudgetMin,
		RetryBudgetRatio:  o.RetryBudgetRatio,
		RetryBudgetWindow: FromMilliseconds(o.RetryBudgetWindowMS),
		ResubscribeWithin: FromMilliseconds(o.ResubscribeWithinMS),
	}
}

func (o *policyLimitsObject) policyLimits() policy.Limits {
	return policy.Limits{
		MaxAttempts:    o.MaxAttempts,
		Hedging:        o.Hedging,
		Cancel:         o.Cancel,
		HealthChecks:   o.HealthChecks,
		RetryAfter:     o.RetryAfter,
		MaxRetryAfter:  FromMilliseconds(o.MaxRetryAfterMS),
		ConnectTimeout: FromMilliseconds(o.ConnectTimeoutMS),
	}
}

// elementOrZero returns an element of a list, or the zero value if the list is too short.
func elementOrZero[T any](list []T, index int) (element T) {
	if index < len(list) {
		return list[index]
	}
	return element
}
