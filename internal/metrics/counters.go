// Package metrics holds the named counters of a program.
package metrics

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
)

// Counters maps names to counts. It is not safe for concurrent use: the
// goroutine of the event loop owns it.
type Counters struct {
	counts   map[string]int64
	reported map[string]int64 // as of the latest call of Deltas
}

// New returns counters that are all zero.
func New() *Counters {
	return &Counters{counts: map[string]int64{}, reported: map[string]int64{}}
}

// Increment increments a counter by one. A name is a list of words joined by dots, from
// the stage of processing to the detail.
func (c *Counters) Increment(name string) { c.counts[name]++ }

// Set sets a counter to a value that is kept elsewhere.
func (c *Counters) Set(name string, value int64) { c.counts[name] = value }

// Get returns the value of a counter.
func (c *Counters) Get(name string) int64 { return c.counts[name] }

// Sum returns the total of all counters whose names begin with the prefix.
func (c *Counters) Sum(prefix string) (sum int64) {
	for name, count := range c.counts {
		if strings.HasPrefix(name, prefix) {
			sum += count
		}
	}
	return sum
}

// Deltas returns by how much each counter has changed since the previous call,
// without the unchanged ones: alternating names and numbers in order of name, as
// the arguments of a slog call.
func (c *Counters) Deltas() (attrs []any) {
	for _, name := range c.sortedNames() {
		delta := c.counts[name] - c.reported[name]
		if delta == 0 {
			continue
		}
		c.reported[name] = c.counts[name]
		attrs = append(attrs, name, delta)
	}
	return attrs
}

// Print writes one line for each counter, in order of name. It is a best effort:
// the program has no better place to report that its output has failed.
func (c *Counters) Print(w io.Writer) {
	for _, name := range c.sortedNames() {
		_, _ = fmt.Fprintf(w, "count %s %d\n", name, c.counts[name])
	}
}

func (c *Counters) sortedNames() []string { return slices.Sorted(maps.Keys(c.counts)) }
