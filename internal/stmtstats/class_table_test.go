package stmtstats

import (
	"testing"

	"flaxrelay/internal/decision/costmodel"
	"flaxrelay/policy"
)

func TestClassTable_IndexesClassesOfPolicyAndModel(t *testing.T) {
	classes := []policy.Class{{Name: "load", Threads: 4}, {Name: "report", Threads: 0.5}, {Name: "lookup"}}
	table := newClassTable(classes, []costmodel.Class{{Name: "lookup", MaxWorkMillis: 800}, {Name: "report"}})
	for name, want := range map[string]int{"load": 0, "report": 1, "lookup": 2, "other": costmodel.NoClass} {
		if got := table.index(name); got != want {
			t.Errorf("class %s has index %d, want %d", name, got, want)
		}
	}
	for name, want := range map[string]float64{"load": 4, "report": 1, "lookup": 1} {
		if got := table.threads[name]; got != want {
			t.Errorf("class %s uses %v threads, want %v", name, got, want)
		}
	}
	if len(table.readOnly) != 2 || table.readOnly[0].Name != "lookup" || table.readOnly[1].Name != "report" {
		t.Errorf("read-only classes %+v", table.readOnly)
	}
}
