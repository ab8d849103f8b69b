// Package metrics declares the counters of the program and holds their values. catalog.go lists
// all of them; docs/operations.md explains them to operators.
//
// Each counter is a variable. Each family of counters is a variable too; the method With of the family returns
// one of its counters:
//
//	counters.Increment(metrics.HTTPConnections)
//	counters.Increment(metrics.RequestsAccepted.With(class))
package metrics

import (
	"fmt"
	"io"
	"log/slog"
	"maps"
	"slices"
	"strings"
)

// Counters holds the values of counters. It is not safe for concurrent use; the goroutine of the
// event loop owns it.
type Counters struct {
	counts   map[string]int64 // by name
	reported map[string]int64 // values at the latest call of Deltas
}

// New returns counters that are all zero.
func New() *Counters {
	return &Counters{counts: map[string]int64{}, reported: map[string]int64{}}
}

// Increment increments a counter by one.
func (c *Counters) Increment(counter Counter) { c.counts[counter.name]++ }

// Set sets a counter to a value that another component maintains.
func (c *Counters) Set(counter Counter, value int64) { c.counts[counter.name] = value }

// Get returns the value of a counter.
func (c *Counters) Get(counter Counter) int64 { return c.counts[counter.name] }

// Sum returns the total of all counters whose names begin with the prefix.
func (c *Counters) Sum(prefix string) int64 {
	var sum int64
	for name, count := range c.counts {
		if strings.HasPrefix(name, prefix) {
			sum += count
		}
	}
	return sum
}

// Deltas returns how much each counter has changed since the previous call, in order of name,
// as the fields of a log event. Unchanged counters are omitted.
func (c *Counters) Deltas() []slog.Attr {
	var deltas []slog.Attr
	for _, name := range c.sortedNames() {
		delta := c.counts[name] - c.reported[name]
		if delta == 0 {
			continue
		}
		c.reported[name] = c.counts[name]
		deltas = append(deltas, slog.Int64(name, delta))
	}
	return deltas
}

// Print writes one line for each counter, in order of name. It ignores errors of the writer, because
// there is nowhere else to report them.
func (c *Counters) Print(w io.Writer) {
	for _, name := range c.sortedNames() {
		_, _ = fmt.Fprintf(w, "count %s %d\n", name, c.counts[name])
	}
}

func (c *Counters) sortedNames() []string { return slices.Sorted(maps.Keys(c.counts)) }
