package hotrestart

import (
	"slices"
	"testing"
)

// explore visits all reachable states, breadth first, up to a bound. It stops at the first
// fault and returns the steps that lead to it.
func explore(f faults, most int) (states, depth int, fault string, trace []string) {
	type node struct {
		parent int
		name   string
		depth  int
	}
	start := newWorld()
	seen := map[string]bool{start.key(): true}
	nodes := []node{{parent: -1}}
	queue := []world{start}
	path := func(i int) (names []string) {
		for ; i > 0; i = nodes[i].parent {
			names = append([]string{nodes[i].name}, names...)
		}
		return names
	}
	for at := 0; at < len(queue) && at < most; at++ {
		w := queue[at]
		queue[at] = world{}
		depth = max(depth, nodes[at].depth)
		if why := w.violation(); why != "" {
			return len(seen), depth, why, path(at)
		}
		next := w.steps(f)
		if !slices.ContainsFunc(next, func(s step) bool { return s.name != stepSuccessorCrashes && s.name != stepPredecessorCrashes }) {
			if why := w.deadlock(); why != "" {
				return len(seen), depth, why, path(at)
			}
		}
		for _, s := range next {
			if k := s.next.key(); !seen[k] {
				seen[k] = true
				nodes = append(nodes, node{at, s.name, nodes[at].depth + 1})
				queue = append(queue, s.next)
			}
		}
	}
	return len(seen), depth, "", nil
}

// maxStates bounds the exploration.
const maxStates = 3e6

// All interleavings of a hot restart with two requests and up to two crashes keep the
// invariants: a connection has one owner and a request one response, no request is repeated
// against its effect, the listener is never closed, and everything completes.
func TestModel(t *testing.T) {
	states, depth, fault, trace := explore(faults{}, maxStates)
	t.Logf("%d states, depth %d", states, depth)
	if fault != "" {
		t.Fatalf("%s after %d states:\n%q", fault, states, trace)
	}
	if states < 10000 {
		t.Errorf("only %d states were reached", states)
	}
}

// Each safeguard is needed: without it, the exploration finds a violation.
func TestModelFindsSeededFaults(t *testing.T) {
	for name, seeded := range map[string]faults{
		"reclaimed before exit":   {reclaimBeforeExit: true},
		"reclaimed before drain":  {reclaimBeforeDrain: true},
		"forwarded before record": {forwardBeforeRecord: true},
		"retried whatever effect": {retryAnything: true},
	} {
		t.Run(name, func(t *testing.T) {
			states, _, fault, trace := explore(seeded, maxStates)
			if fault == "" {
				t.Fatalf("nothing found in %d states", states)
			}
			t.Logf("%s after %d steps", fault, len(trace))
		})
	}
}
