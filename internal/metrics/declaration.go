package metrics

import "slices"

// Counter identifies one counter. Only the catalog declares counters; the zero value is not a valid
// counter.
type Counter struct{ name string }

// Name returns the counter's name. Its parts are joined by dots: first the area, such as requests or
// http, then the details.
func (c Counter) Name() string { return c.name }

// CounterVec identifies a family of counters that differ in the value of one label. The value is
// the last part of the counter's name.
type CounterVec struct{ prefix string }

// With returns the counter for a value of the label.
func (v CounterVec) With(value string) Counter { return Counter{name: v.prefix + value} }

// CounterVec2 identifies a family of counters that differ in the values of two labels. The values
// are the last two parts of the counter's name.
type CounterVec2 struct{ prefix string }

// With returns the counter for a value of each label.
func (v CounterVec2) With(first, second string) Counter {
	return Counter{name: v.prefix + first + "." + second}
}

// Declaration describes a counter or a family of counters of the catalog.
type Declaration struct {
	Name string // the name of a family ends with its labels, as in attempts.ended.STATUS
	Help string // one sentence: what the counter counts
}

// declarations holds the catalog, in the order of catalog.go.
var declarations []Declaration

// Catalog returns the declarations of all counters.
func Catalog() []Declaration { return slices.Clone(declarations) }

// declare adds a counter to the catalog.
func declare(name, help string) Counter {
	declarations = append(declarations, Declaration{Name: name, Help: help})
	return Counter{name: name}
}

// declareVec adds a family of counters with one label to the catalog.
func declareVec(name, label, help string) CounterVec {
	prefix := name + "."
	declarations = append(declarations, Declaration{Name: prefix + label, Help: help})
	return CounterVec{prefix: prefix}
}

// declareVec2 adds a family of counters with two labels to the catalog.
func declareVec2(name, firstLabel, secondLabel, help string) CounterVec2 {
	prefix := name + "."
	declarations = append(declarations, Declaration{Name: prefix + firstLabel + "." + secondLabel, Help: help})
	return CounterVec2{prefix: prefix}
}
