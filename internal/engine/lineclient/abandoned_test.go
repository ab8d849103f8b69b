package lineclient

import (
	"testing"
	"time"
)

func TestAbandonedIDs_ExpireAndAreDropped(t *testing.T) {
	ids := newAbandonedIDs()
	ids.add("a", 0)
	ids.add("b", time.Second)
	if !ids.has("a", abandonedIDTTL-1) {
		t.Error("an id expires before abandonedIDTTL has passed")
	}
	if ids.has("a", abandonedIDTTL) {
		t.Error("an id does not expire when abandonedIDTTL has passed")
	}
	if !ids.has("b", abandonedIDTTL) {
		t.Error("an id expires with an id that was added before")
	}
	ids.add("c", abandonedIDTTL)
	if len(ids.expiry) != 2 || len(ids.oldestFirst) != 2 {
		t.Errorf("%d ids are stored, want 2", len(ids.expiry))
	}
}
