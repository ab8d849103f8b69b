package lineclient

import "time"

// abandonedIDTTL is how long an abandoned id is not reused on its connection. If the id were reused
// earlier, a late response to the abandoned request would be taken for a response to the new
// request.
const abandonedIDTTL = 30 * time.Second

// abandonedIDs are the ids of the requests that were abandoned on one connection. Responses to
// these requests may still arrive.
type abandonedIDs struct {
	expiry      map[string]time.Duration // by id: when the id may be used again, by the dispatcher's clock
	oldestFirst []string                 // the keys of expiry, in the order of add
}

func newAbandonedIDs() abandonedIDs { return abandonedIDs{expiry: map[string]time.Duration{}} }

// has reports whether the id was abandoned and must not be used yet.
func (a *abandonedIDs) has(id string, now time.Duration) bool { return now < a.expiry[id] }

// add prevents the use of an id for abandonedIDTTL. It also drops the expired ids, so that few are
// stored on a connection that stays open for days.
func (a *abandonedIDs) add(id string, now time.Duration) {
	for len(a.oldestFirst) > 0 && now >= a.expiry[a.oldestFirst[0]] {
		delete(a.expiry, a.oldestFirst[0])
		a.oldestFirst = a.oldestFirst[1:]
	}
	a.expiry[id] = now + abandonedIDTTL
	a.oldestFirst = append(a.oldestFirst, id)
}
