package policy

import "math"

const (
	meanRankPriority = 2.5                      // priority at the mean rank, before rounding
	maxPriority      = 3                        // of SetResources
	defaultPriority  = 1                        // where engines heed none
	grantCoverage    = 0.87                     // share of a class's requests whose need a grant should cover
	grantIncrease    = 1 + grantCoverage/10     // factor after a grant that was too small
	grantDecrease    = 1 - (1-grantCoverage)/10 // factor after one that sufficed; balances at the coverage
)

// resources returns the memory and priority of the next attempt. They need not be set where engines heed
// neither.
func (r *attemptRunner) resources(req *request) (resources SetResources, set bool) {
	resources = SetResources{RequestID: req.id, Priority: defaultPriority}
	if r.settings.MemoryGrants {
		resources.MemoryMB = math.Ceil(req.estimatedMemoryMB * req.class.grantFactor)
	}
	if r.settings.Priorities {
		resources.Priority = priority(req)
	}
	return resources, resources.MemoryMB > 0 || r.settings.Priorities
}

// priority rises by one step with each doubling of priority weight over expected work: long requests lose
// little where short ones overtake them. A bulk load blocks the readers of its data set, so it comes first.
func priority(req *request) int {
	if req.class.BulkLoad {
		return maxPriority
	}
	return int(min(max(math.Round(meanRankPriority+req.valueRank), 0), maxPriority))
}
