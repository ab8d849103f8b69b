package policy

import "testing"

func TestEWMA_MovesTowardsTheSample(t *testing.T) {
	for _, c := range []struct {
		name      string
		got, want float64
	}{
		{"a window of four", ewma(10, 18, 4), 12},
		{"a window of one takes the sample", ewma(10, 18, 1), 18},
		{"a weight of a quarter", ewmaWeighted(10, 18, 0.25), 12},
		{"a weight of zero keeps the mean", ewmaWeighted(10, 18, 0), 10},
		{"an unset mean starts at the sample", ewmaSeeded(0, 18, 4), 18},
		{"a set mean moves", ewmaSeeded(10, 18, 4), 12},
	} {
		if c.got != c.want {
			t.Errorf("%s: %v, want %v", c.name, c.got, c.want)
		}
	}
}
