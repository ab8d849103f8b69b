package lineclient

import (
	"testing"
	"time"
)

func TestAbandonedIDs_ExpireAndAreDropped(t *testing.T) {
	ids := newAbandonedIDs()
	ids.add("a", 0)
	ids.add("b", time.Second)
	if !ids.has("a", abandonedIDTTL-1) || ids.has("a", abandonedIDTTL) || !ids.has("b", abandonedIDTTL) {
		t.Error("an id does not expire after abandonedIDTTL, or not on its own")
	}
	ids.add("c", abandonedIDTTL)
	if len(ids.expiry) != 2 || len(ids.oldestFirst) != 2 {
		t.Errorf("%d ids are stored, want 2", len(ids.expiry))
	}
}
