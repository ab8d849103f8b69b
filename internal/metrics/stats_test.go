package metrics

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestChangesTellsWhatWasGainedSinceTheLastCall(t *testing.T) {
	c := New()
	c.Add("b")
	c.Add("a")
	c.Add("a")
	for i, want := range [][]any{{"a", int64(2), "b", int64(1)}, nil, {"b", int64(1)}} {
		if i == 2 {
			c.Add("b")
		}
		if diff := cmp.Diff(want, c.Changes()); diff != "" {
			t.Errorf("call %d: %s", i, diff)
		}
	}
}
