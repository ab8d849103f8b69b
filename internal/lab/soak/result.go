package soak

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"flaxrelay/internal/lab/syscallfault"
)

// Result contains the counts and the violations of a completed run.
type Result struct {
	Seed      uint64
	Directory string          // contains the logs
	Outcomes  map[outcome]int // number of requests by outcome
	Attempts  int
	Faults    map[string]int            // number of scheduled faults by kind, including faults without a target
	Injected  map[syscallfault.Kind]int // number of injected faults of system calls, by kind
	Repeated  int                       // number of served requests whose id was that of an earlier request
	// ProcessorWait is how long processes waited for a processor in total. Short waits, which occur on an idle machine
	// too, do not count. The checker allows for the waits that count.
	ProcessorWait time.Duration
	Violations    []Violation
}

// String describes the result: its counts, and one line for each violation.
func (r *Result) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "seed %d: %d attempts; %s; %s; %s; %d repeated ids; processor wait %v; %d violations\n",
		r.Seed, r.Attempts, formatCounts(r.Outcomes), formatCounts(r.Faults), formatCounts(r.Injected), r.Repeated,
		r.ProcessorWait.Round(time.Millisecond), len(r.Violations))
	for _, v := range r.Violations {
		fmt.Fprintf(&text, "  %s\n", v)
	}
	return text.String()
}

// formatCounts lists the counts, sorted by name.
func formatCounts[N ~string](counts map[N]int) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%s %d", name, counts[name]))
	}
	return strings.Join(parts, ", ")
}
