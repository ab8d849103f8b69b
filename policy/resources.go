package policy

import "math"

const (
	meanRankPriority = 2.5 // priority at the mean rank, before rounding
	maxPriority      = 3   // of SetResources
	defaultPriority  = 1   // where engines heed none

	// A grant should cover the need of grantCoverage of a class's requests. The grant factor rises after a
	// grant that was too small and falls after one that sufficed, by steps that cancel out at this share.
	grantCoverage = 0.87
	grantIncrease = 1 + grantCoverage/10
	grantDecrease = 1 - (1-grantCoverage)/10
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
