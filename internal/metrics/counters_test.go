package metrics

import (
	"bytes"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestDeltas_ReturnsDeltasSinceThePreviousCall(t *testing.T) {
	c := New()
	c.Increment("b")
	c.Increment("a")
	c.Increment("a")
	for i, want := range [][]any{{"a", int64(2), "b", int64(1)}, nil, {"b", int64(1)}} {
		if i == 2 {
			c.Increment("b")
		}
		if diff := cmp.Diff(want, c.Deltas()); diff != "" {
			t.Errorf("call %d (-want +got):\n%s", i, diff)
		}
	}
}

func TestPrint_WritesCountersInOrderOfName(t *testing.T) {
	c := New()
	c.Set("b.set", 7)
	c.Increment("a.added")
	var out bytes.Buffer
	c.Print(&out)
	if diff := cmp.Diff("count a.added 1\ncount b.set 7\n", out.String()); diff != "" {
		t.Errorf("output (-want +got):\n%s", diff)
	}
}
