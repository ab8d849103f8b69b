// Package observability contains the tests of the names that operators see: the names of counters and
// log events, and the label values that are part of these names.
package observability

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"flaxrelay/internal/golden"
	"flaxrelay/internal/logevent"
	"flaxrelay/internal/metrics"
)

// TestNames_MatchTheGoldenFile fails if a counter, a log event, one of its fields or a value in the
// name of a counter is added, renamed or removed. Dashboards and alerts depend on these names. After
// a change, add each old name to the table "Names before this version" of docs/operations.md, and
// then update the golden file (go test ./internal/observability -update).
func TestNames_MatchTheGoldenFile(t *testing.T) {
	var lines []string
	for _, counter := range metrics.Catalog() {
		lines = append(lines, "counter "+withoutLabels(counter.Name, "*"))
	}
	for _, event := range logevent.Catalog() {
		words := []string{"event", strings.ToLower(event.Level.String()), event.Name}
		for _, field := range event.Fields {
			words = append(words, withoutLabels(field, "..."))
		}
		lines = append(lines, strings.Join(words, " "))
	}
	for label, values := range labelValues(t) {
		for _, value := range values {
			lines = append(lines, strings.ToLower(label)+" "+value)
		}
	}
	slices.Sort(lines)
	golden.Compare(t, "testdata/names.golden", fmt.Appendln(nil, strings.Join(lines, "\n")))
}

// withoutLabels returns a declared name with each label replaced by the placeholder.
func withoutLabels(name, placeholder string) string {
	parts := strings.Split(name, ".")
	for i, part := range parts {
		if isLabel(part) {
			parts[i] = placeholder
		}
	}
	return strings.Join(parts, ".")
}

// isLabel reports whether a part of a declared name is a label. Labels are in upper case.
func isLabel(part string) bool { return part == strings.ToUpper(part) }

// TestCatalogs_DeclareEachNameOnceWithASentence checks the form of the declarations.
func TestCatalogs_DeclareEachNameOnceWithASentence(t *testing.T) {
	seen := map[string]bool{}
	check := func(kind, name, help string) {
		t.Helper()
		if seen[kind+name] {
			t.Errorf("%s %s is declared twice", kind, name)
		}
		seen[kind+name] = true
		if len(help) < len("Ended.") || !strings.HasSuffix(help, ".") || help[:1] != strings.ToUpper(help[:1]) {
			t.Errorf("%s %s: the help %q is not a sentence", kind, name, help)
		}
	}
	for _, counter := range metrics.Catalog() {
		check("counter", counter.Name, counter.Help)
	}
	for _, event := range logevent.Catalog() {
		check("event", event.Name, event.Help)
	}
}
