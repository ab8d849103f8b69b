package policy

import "testing"

func TestDecayingCounter_HalvesAtItsLimit(t *testing.T) {
	const limit = 8
	counter := newDecayingCounter()
	for range 5 {
		counter.add(1, limit)
	}
	counter.add(2, limit)
	counter.add(2, limit)
	if counter.total != 7 || counter.count(1) != 5 || counter.count(2) != 2 {
		t.Fatalf("before the limit: %+v", counter)
	}
	counter.add(3, limit)
	if counter.total != 4 || counter.count(1) != 2.5 || counter.count(2) != 1 {
		t.Errorf("at the limit: %+v, want half of each count", counter)
	}
	if _, kept := counter.counts[3]; kept {
		t.Error("a count under one was kept")
	}
}
