package lineclient

import "time"

// abandonedIDTTL is how long an id that was abandoned on a connection is not used there
// again. A late response to the first request would be taken for one to the second.
const abandonedIDTTL = 30 * time.Second

// abandonedIDs are the request ids that were abandoned on one connection and to which a
// response may still arrive there.
type abandonedIDs struct {
	expiry      map[string]time.Duration // when the id may be used again, by the dispatcher's clock
	oldestFirst []string                 // the ids of expiry, in the order of add
}

func newAbandonedIDs() abandonedIDs { return abandonedIDs{expiry: map[string]time.Duration{}} }

// has reports whether the id may not be used yet.
func (a *abandonedIDs) has(id string, now time.Duration) bool { return now < a.expiry[id] }

// add prevents the use of an id for abandonedIDTTL. It drops the expired ids, so that a
// connection which lives for days does not collect them all.
func (a *abandonedIDs) add(id string, now time.Duration) {
	for len(a.oldestFirst) > 0 && now >= a.expiry[a.oldestFirst[0]] {
		delete(a.expiry, a.oldestFirst[0])
		a.oldestFirst = a.oldestFirst[1:]
	}
	a.expiry[id] = now + abandonedIDTTL
	a.oldestFirst = append(a.oldestFirst, id)
}
