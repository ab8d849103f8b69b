package lineclient

import "time"

// abandonedIDTTL is how long an id that was given up on a connection is not used
// there again: a late response to the first request would be mistaken for one to the second.
const abandonedIDTTL = 30 * time.Second

// abandonedIDs are the request ids that were given up on one connection and may
// still be answered there.
type abandonedIDs struct {
	expiry      map[string]time.Duration
	oldestFirst []string
}

func newAbandonedIDs() abandonedIDs { return abandonedIDs{expiry: map[string]time.Duration{}} }

// has reports whether the id may not be used yet.
func (a *abandonedIDs) has(id string, now time.Duration) bool { return now < a.expiry[id] }

// add keeps an id from being used, and drops the expired ones: a connection that
// lives for days would otherwise collect all that were ever given up on it.
func (a *abandonedIDs) add(id string, now time.Duration) {
	for len(a.oldestFirst) > 0 && now >= a.expiry[a.oldestFirst[0]] {
		delete(a.expiry, a.oldestFirst[0])
		a.oldestFirst = a.oldestFirst[1:]
	}
	a.expiry[id] = now + abandonedIDTTL
	a.oldestFirst = append(a.oldestFirst, id)
}
