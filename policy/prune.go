package policy

import (
	"maps"
	"slices"
	"time"
)

// prune forgets what no decision needs any more: a balancer runs for months.
func (b *Balancer) prune() {
	b.retryWindow.expire(b.now - b.settings.Rules.RetryBudgetWindow)
	b.engines = slices.DeleteFunc(b.engines, func(e *engine) bool {
		maps.DeleteFunc(e.datasetLoadingUntil, func(_ int64, until time.Duration) bool { return b.now >= until })
		obsolete := e.state == EngineRemoved && len(e.inFlight) == 0 && b.now >= e.warmupEndsAt
		if obsolete {
			delete(b.enginesByID, e.id)
		}
		return obsolete
	})
	maps.DeleteFunc(b.keyQueues, func(_ string, queue *keyQueue) bool { return queue.idle(b.now) })
}
