package observability

import (
	"path"
	"slices"
	"strings"
	"testing"

	"flaxrelay/internal/lifecycle"
	"flaxrelay/internal/metrics"
	"flaxrelay/policy"
)

// ejectionReasons is a key of the map of labelValues. It stands for a field of an event, not for a label.
const ejectionReasons = "reason of engine.ejected"

// labelValues returns the values of each label with a fixed set of values, and of ejectionReasons.
// The values are sorted.
func labelValues(t *testing.T) map[string][]string {
	t.Helper()
	sources := parseServingSources(t)
	values := map[string][]string{
		metrics.LabelRule:   sources.constantsOfType("Rule"),
		metrics.LabelCause:  sources.constantsOfType("closeReason"),
		metrics.LabelReason: {strings.TrimPrefix(path.Ext(metrics.RejectionsShutdown.Name()), ".")},
	}
	for status := lifecycle.StatusUnknown; status <= lifecycle.StatusIdleClosed; status++ {
		values[metrics.LabelStatus] = append(values[metrics.LabelStatus], status.String())
	}
	for reason := policy.ReasonUnknownClass; reason <= policy.ReasonDeadline; reason++ {
		values[metrics.LabelReason] = append(values[metrics.LabelReason], reason.String())
	}
	for verdict := lifecycle.VerdictFailed; verdict <= lifecycle.VerdictServed; verdict++ {
		values[metrics.LabelVerdict] = append(values[metrics.LabelVerdict], verdict.String())
	}
	for reason := policy.EjectedSilent; reason <= policy.EjectedOverdue; reason++ {
		values[ejectionReasons] = append(values[ejectionReasons], reason.String())
	}
	for label := range values {
		slices.Sort(values[label])
		if len(values[label]) < 2 {
			t.Errorf("found only the values %v of the label %s, want at least two", values[label], label)
		}
	}
	return values
}
