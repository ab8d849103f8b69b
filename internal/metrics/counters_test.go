package metrics

import (
	"bytes"
	"log/slog"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestDeltas_ReturnsDeltasSinceThePreviousCall(t *testing.T) {
	c := New()
	c.Increment(Counter{"b"})
	c.Increment(Counter{"a"})
	c.Increment(Counter{"a"})
	for i, want := range [][]slog.Attr{{slog.Int64("a", 2), slog.Int64("b", 1)}, nil, {slog.Int64("b", 1)}} {
		if i == 2 {
			c.Increment(Counter{"b"})
		}
		if diff := cmp.Diff(want, c.Deltas()); diff != "" {
			t.Errorf("call %d (-want +got):\n%s", i, diff)
		}
	}
}

func TestPrint_WritesCountersInOrderOfName(t *testing.T) {
	c := New()
	c.Set(Counter{"b.set"}, 7)
	c.Increment(Counter{"a.added"})
	var out bytes.Buffer
	c.Print(&out)
	if diff := cmp.Diff("count a.added 1\ncount b.set 7\n", out.String()); diff != "" {
		t.Errorf("output (-want +got):\n%s", diff)
	}
}

func TestWith_AppendsTheValuesOfTheLabels(t *testing.T) {
	for want, got := range map[string]Counter{
		"attempts.ended.timeout":           AttemptsEnded.With("timeout"),
		"requests.completed.served.lookup": RequestsCompleted.With("served", "lookup"),
		"rejections.shutdown":              RejectionsShutdown,
		"http.connections":                 HTTPConnections,
	} {
		if got.Name() != want {
			t.Errorf("the counter is named %q, want %q", got.Name(), want)
		}
	}
}

func TestGet_ReturnsTheValueOfTheCounterAlone(t *testing.T) {
	c := New()
	c.Increment(RequestsAccepted.With("lookup"))
	c.Increment(RequestsAccepted.With("lookup"))
	c.Increment(RequestsAccepted.With("report"))
	if got := c.Get(RequestsAccepted.With("lookup")); got != 2 {
		t.Errorf("the counter is %d, want 2", got)
	}
	if got := c.Sum("requests.accepted."); got != 3 {
		t.Errorf("the sum of the family is %d, want 3", got)
	}
}
