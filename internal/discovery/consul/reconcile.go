package consul

import (
	"log/slog"
	"slices"
	"strings"

	"flaxrelay/internal/lifecycle"
	"flaxrelay/internal/logevent"
	"flaxrelay/internal/metrics"
	"flaxrelay/policy"
)

// reconcile notifies the sink of all changes since the previous notification. An engine is removed
// when it is no longer registered or no longer listed by the health API. An engine that the health
// API has never listed is ignored.
func (w *Watcher) reconcile() {
	if w.registered == nil || w.health == nil {
		return
	}
	w.counters.Increment(metrics.ConsulEvents)
	changes, current := changedEndpoints(w.notified, w.currentEndpoints())
	w.notified = current
	if len(changes) > 0 {
		w.sink.UpdateEndpoints(policy.UpdateDelta, changes)
	}
}

// currentEndpoints returns the registered engines whose health is known, in the order of
// their registrations.
func (w *Watcher) currentEndpoints() []lifecycle.Endpoint {
	var current []lifecycle.Endpoint
	for i := range w.registered {
		registered := &w.registered[i]
		if !registered.valid() {
			logevent.ConsulInvalidRegistration.Log(w.log, slog.String("consul", w.opts.Address),
				slog.String("reason", "no id or no port"))
			continue
		}
		engine := registered.endpoint(w.opts)
		state, known := w.health[engine.ID]
		if !known {
			continue
		}
		engine.State = state
		current = append(current, engine)
	}
	return current
}

// changedEndpoints compares the list with the previous list; before and after contain the lists by id. The
// changes are the engines that are new or have changed, and the engines that are no longer in the list. An
// engine that is no longer in the list gets the state EngineRemoved, and is omitted if it had this state
// before. The changes are in the order of their ids.
func changedEndpoints(
	before map[string]lifecycle.Endpoint, list []lifecycle.Endpoint,
) (changes []lifecycle.Endpoint, after map[string]lifecycle.Endpoint) {
	after = make(map[string]lifecycle.Endpoint, len(list))
	for _, engine := range list {
		after[engine.ID] = engine
		if old, known := before[engine.ID]; !known || old != engine {
			changes = append(changes, engine)
		}
	}
	for id, engine := range before {
		if _, listed := after[id]; !listed && engine.State != policy.EngineRemoved {
			engine.State = policy.EngineRemoved
			changes = append(changes, engine)
		}
	}
	slices.SortFunc(changes, func(a, b lifecycle.Endpoint) int { return strings.Compare(a.ID, b.ID) })
	return changes, after
}
