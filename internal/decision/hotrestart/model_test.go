package hotrestart

import (
	"slices"
	"testing"
)

// maxStates is the maximum number of states that are checked.
const maxStates = 3_000_000

// exploration is the result of exploring the states of the model.
type exploration struct {
	states    int      // number of states that were reached
	depth     int      // number of steps to the last state that was checked
	violation string   // the violated invariant; "": none
	trace     []string // the steps that lead to the violation
}

// explore checks all reachable states, breadth first and up to maxStates. It stops at the first violation.
func explore(f faults) exploration {
	type node struct {
		parent int
		step   string // from the parent to this node
		depth  int
	}
	start := newWorld()
	seen := map[string]bool{start.key(): true}
	nodes := []node{{parent: -1}}
	queue := []world{start}
	trace := func(i int) (steps []string) {
		for ; i > 0; i = nodes[i].parent {
			steps = append(steps, nodes[i].step)
		}
		slices.Reverse(steps)
		return steps
	}
	depth := 0
	for i := 0; i < len(queue) && i < maxStates; i++ {
		current := queue[i]
		queue[i] = world{} // frees its memory
		depth = nodes[i].depth
		if violation := current.violation(); violation != "" {
			return exploration{len(seen), depth, violation, trace(i)}
		}
		next := current.steps(f)
		if !slices.ContainsFunc(next, step.isProgress) {
			if violation := current.deadlock(); violation != "" {
				return exploration{len(seen), depth, violation, trace(i)}
			}
		}
		for _, s := range next {
			if key := s.next.key(); !seen[key] {
				seen[key] = true
				nodes = append(nodes, node{i, s.name, depth + 1})
				queue = append(queue, s.next)
			}
		}
	}
	return exploration{states: len(seen), depth: depth}
}

// All interleavings of a hot restart with two requests and up to two crashes keep the invariants: a
// connection has one owner, a request has one response, a request is retried only if that is permitted,
// the listener is never closed, and every request completes.
func TestModel_KeepsInvariantsInAllInterleavings(t *testing.T) {
	explored := explore(faults{})
	t.Logf("%d states, depth %d", explored.states, explored.depth)
	if explored.violation != "" {
		t.Fatalf("%s after %d states:\n%q", explored.violation, explored.states, explored.trace)
	}
	if explored.states < 10000 {
		t.Errorf("only %d states were reached", explored.states)
	}
}

// Each safeguard is needed: without it, the exploration finds a violation.
func TestModel_FindsSeededFaults(t *testing.T) {
	for name, seeded := range map[string]faults{
		"reclaimed before exit":     {reclaimBeforeExit: true},
		"reclaimed before drain":    {reclaimBeforeDrain: true},
		"forwarded before record":   {forwardBeforeRecord: true},
		"retried if not idempotent": {retryAnything: true},
	} {
		t.Run(name, func(t *testing.T) {
			explored := explore(seeded)
			if explored.violation == "" {
				t.Fatalf("no violation found in %d states", explored.states)
			}
			t.Logf("%s after %d steps", explored.violation, len(explored.trace))
		})
	}
}
