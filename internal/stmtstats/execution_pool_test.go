package stmtstats

import "testing"

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
