package hotrestart

import (
	"slices"
	"testing"
)

// explore visits all reachable states, breadth first, but at most the given number. It stops at the first
// violation and returns the steps that lead to it.
func explore(f faults, most int) (states, depth int, violation string, trace []string) {
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
		current := queue[at]
		queue[at] = world{}
		depth = max(depth, nodes[at].depth)
		if violation := current.violation(); violation != "" {
			return len(seen), depth, violation, path(at)
		}
		next := current.steps(f)
		if !slices.ContainsFunc(next, step.isProgress) {
			if violation := current.deadlock(); violation != "" {
				return len(seen), depth, violation, path(at)
			}
		}
		for _, s := range next {
			if key := s.next.key(); !seen[key] {
				seen[key] = true
				nodes = append(nodes, node{at, s.name, nodes[at].depth + 1})
				queue = append(queue, s.next)
			}
		}
	}
	return len(seen), depth, "", nil
}

// maxStates limits the exploration.
const maxStates = 3e6

// All interleavings of a hot restart with two requests and up to two crashes keep the invariants: a
// connection has one owner, a request has one response, a request is retried only if that is permitted,
// the listener is never closed, and every request completes.
func TestModel_KeepsInvariantsInAllInterleavings(t *testing.T) {
	states, depth, violation, trace := explore(faults{}, maxStates)
	t.Logf("%d states, depth %d", states, depth)
	if violation != "" {
		t.Fatalf("%s after %d states:\n%q", violation, states, trace)
	}
	if states < 10000 {
		t.Errorf("only %d states were reached", states)
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
			states, _, violation, trace := explore(seeded, maxStates)
			if violation == "" {
				t.Fatalf("no violation found in %d states", states)
			}
			t.Logf("%s after %d steps", violation, len(trace))
		})
	}
}
