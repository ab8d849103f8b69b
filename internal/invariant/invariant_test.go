package invariant

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"

	"flaxrelay/internal/metrics"
)

func TestCheck_CountsAndLogsViolationsOnly(t *testing.T) {
	var out bytes.Buffer
	counters := metrics.New()
	checker := New(counters, slog.New(slog.NewTextHandler(&out, nil)))
	if !checker.Check(true, DrainedEndpoint) || checker.Check(false, DrainedEndpoint, slog.String("engine", "e1")) {
		t.Error("Check does not return whether the rule holds")
	}
	if n := counters.Get(metrics.InvariantsViolated.With("drained-endpoint")); n != 1 {
		t.Errorf("%d violations are counted, want 1", n)
	}
	got := out.String()
	const want = "msg=invariant.violated rule=drained-endpoint engine=e1"
	if strings.Count(got, "\n") != 1 || !strings.Contains(got, want) {
		t.Errorf("log is %q, want one line with the rule and the engine", got)
	}
}
