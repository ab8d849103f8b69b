package httpserver

import "testing"

func TestEvictedBefore_PrefersConnectionsWithoutAValidRequest(t *testing.T) {
	newSilent := &connection{lastActive: 9}
	oldSilent := &connection{lastActive: 5}
	newUsed := &connection{lastActive: 8, validRequestSeen: true}
	oldUsed := &connection{lastActive: 1, validRequestSeen: true}
	order := []*connection{oldSilent, newSilent, oldUsed, newUsed}
	for i, first := range order {
		for j, second := range order {
			if got := first.evictedBefore(second); got != (i < j) {
				t.Errorf("connection %d before %d: %v", i, j, got)
			}
		}
	}
}
