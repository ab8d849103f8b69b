package stmtstats

import (
	"testing"

	"flaxrelay/internal/decision/costmodel"
	"flaxrelay/policy"
)

func TestExecutionPool_ReusesEmptiedExecutions(t *testing.T) {
	var pool executionPool
	execution := pool.get()
	execution.parsed.text = "SELECT 1"
	execution.Estimate.Known = true
	pool.put(execution)
	reused := pool.get()
	if reused != execution {
		t.Error("the pool did not reuse a released execution")
	}
	if reused.parsed.text != "" || reused.Estimate.Known {
		t.Errorf("the reused execution is not empty: %+v", reused)
	}
	if pool.get() == execution {
		t.Error("the pool returned one execution twice")
	}
}

func TestExecutionPool_LimitsItsSize(t *testing.T) {
	var pool executionPool
	for range maxFreeExecutions + 10 {
		pool.put(&Execution{})
	}
	if len(pool.free) != maxFreeExecutions {
		t.Errorf("%d executions in the pool, want %d", len(pool.free), maxFreeExecutions)
	}
}

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
