package policy

import (
	"fmt"
	"math/rand/v2"
)

// New returns a balancer for the settings, or an error that wraps a *SettingsError.
func New(settings Settings, seed uint64) (*Balancer, error) {
	if err := validate(&settings); err != nil {
		return nil, fmt.Errorf("policy: settings: %w", err)
	}
	b := &Balancer{
		settings: settings,
		rng:      rand.New(rand.NewPCG(seed, seed)),
		requests: map[uint64]*request{},
		classes:  map[string]*class{},
		engines:  newEngineTable(),
		fleet:    fleet{target: newConcurrencyTarget(&settings)},
		quotas:   newQuotas(settings.Tenants),
	}
	for _, settings := range settings.Classes {
		b.classes[settings.Name] = newClass(settings)
	}
	b.traffic = newTrafficEstimate(settings.Replicas, b.quotas.total)
	b.slowStartRules = slowStartRules{Rules: &b.settings.Rules}
	b.ordered = newOrderedRequests(settings.Rules.OrderSettleTime + settings.TimerGranularity)
	b.rules = attemptRules{
		limits:  &b.settings.Limits,
		budget:  retryBudget{rules: &b.settings.Rules},
		ordered: &b.ordered,
		traffic: &b.traffic,
	}
	b.attempts = attemptRunner{
		settings: &b.settings,
		actions:  &b.actions,
		rules:    &b.rules,
		fleet:    &b.fleet,
		traffic:  &b.traffic,
	}
	b.outliers = outlierDetector{
		silence:  newSilenceDetector(&settings),
		actions:  &b.actions,
		attempts: &b.attempts,
	}
	b.load = loadReports{
		threadsPerCore: b.fleet.target.threadsPerCore,
		swaps:          settings.Shortage == ShortageSwap,
		fleet:          &b.fleet,
		traffic:        &b.traffic,
	}
	b.selector = selector{
		zone:     settings.Zone,
		rng:      b.rng,
		fleet:    &b.fleet,
		rules:    &b.rules,
		load:     &b.load,
		silence:  &b.outliers.silence,
		affinity: newDatasetAffinity(settings.Zone),
	}
	return b, nil
}
