// Package observability holds the tests of the names by which operators know this program:
// its counters, its log events and the values that are part of their names.
package observability

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"flaxrelay/internal/golden"
	"flaxrelay/internal/lifecycle"
	"flaxrelay/policy"
)

// TestNames_AreThoseThatOperatorsKnow fails where a counter, a log event, one of its fields or a
// value in the name of a counter is added, renamed or removed. Dashboards and alerts depend on
// these names: a renaming belongs into the table "Names before this version" of
// docs/operations.md, and then into the golden file (go test ./internal/observability -update).
func TestNames_AreThoseThatOperatorsKnow(t *testing.T) {
	sources := parseServingSources(t)
	var lines []string
	for _, use := range sources.uses() {
		lines = append(lines, use.String())
	}
	for _, value := range sources.constantsOfType("Rule") {
		lines = append(lines, "rule "+value)
	}
	for _, value := range sources.constantsOfType("closeReason") {
		lines = append(lines, "cause "+value)
	}
	for status := lifecycle.StatusUnknown; status <= lifecycle.StatusIdleClosed; status++ {
		lines = append(lines, "status "+status.String())
	}
	for reason := policy.ReasonUnknownClass; reason <= policy.ReasonDeadline; reason++ {
		lines = append(lines, "reason "+reason.String())
	}
	for verdict := lifecycle.VerdictFailed; verdict <= lifecycle.VerdictServed; verdict++ {
		lines = append(lines, "verdict "+verdict.String())
	}
	slices.Sort(lines)
	lines = slices.Compact(lines)
	golden.Compare(t, "testdata/names.golden", fmt.Appendln(nil, strings.Join(lines, "\n")))
}
