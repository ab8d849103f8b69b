package lineclient

import (
	"fmt"
	"runtime"
	"testing"
)

// Guards against an id that becomes free again while responses to it may still arrive: no id is ever forgotten, and a
// connection that remembers as many as it may accepts no more.
func TestUsedIDs_ForgetNoneAndBecomeFull(t *testing.T) {
	ids := newUsedIDs()
	added := 0
	for ; !ids.full(); added++ {
		ids.add(fmt.Sprint(added))
		ids.add(fmt.Sprint(added)) // counts once
	}
	if added < maxUsedIDs || added > maxUsedIDs+1 { // two ids may have the same hash
		t.Errorf("full after %d ids, want %d", added, maxUsedIDs)
	}
	if ids.has("another") {
		t.Error("an id that was not added counts as used")
	}
	for n := range added {
		if !ids.has(fmt.Sprint(n)) {
			t.Fatalf("id %d was forgotten", n)
		}
	}
}

// Guards against memory that grows with the length of the ids that clients choose, or with the time that a connection
// is open.
func TestUsedIDs_MemoryIsBounded(t *testing.T) {
	const (
		connections = 100
		maxBytes    = 96 << 10 // allocated for each connection while its set grows; about half of it is kept
		idLength    = 1 << 10
	)
	var requestIDs []string
	for n := range 2 * maxUsedIDs {
		requestIDs = append(requestIDs, fmt.Sprintf("%0*d", idLength, n))
	}
	before := allocatedBytes()
	for range connections {
		used := newUsedIDs()
		for n := 0; !used.full(); n++ {
			used.add(requestIDs[n])
		}
	}
	if allocated := (allocatedBytes() - before) / connections; allocated > maxBytes {
		t.Errorf("a full connection takes %d bytes, want at most %d", allocated, maxBytes)
	}
}

// allocatedBytes returns the size of all objects that were ever allocated, in bytes.
func allocatedBytes() uint64 {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.TotalAlloc
}
