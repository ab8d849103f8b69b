package policy

import "math"

const (
	meanRankPriority = 2.5 // priority at the mean rank, before rounding
	maxPriority      = 3   // most urgent priority of SetResources
	defaultPriority  = 1   // used if engines ignore priorities

	// A grant should suffice for a share of grantCoverage of a class's requests. The grant factor rises after
	// a grant that was too small and falls after a grant that sufficed; the steps cancel out at this share.
	grantCoverage = 0.87
	grantIncrease = 1 + grantCoverage/10
	grantDecrease = 1 - (1-grantCoverage)/10
)

// resources returns the memory and priority of the next attempt, and whether to set them. set is false if
// there is no memory to grant and engines ignore priorities.
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

// priority returns the priority of a request. It rises by one with each doubling of the ratio of priority
// weight to expected work: long requests lose little when short ones overtake them. A bulk load has the
// highest priority, since it blocks the readers of its data set.
func priority(req *request) int {
	if req.class.BulkLoad {
		return maxPriority
	}
	return int(min(max(math.Round(meanRankPriority+req.valueRank), 0), maxPriority))
}
