package growthtest

import "testing"

// sum is a result that the compiler must compute.
var sum int

// A quadratic cost is found, and a linear one is not taken for it.
func TestMeasure_TellsLinearFromQuadratic(t *testing.T) {
	const (
		size  = 800
		scale = 800
	)
	linear := Measure(size, func(size int) func() { return func() { count(scale * size) } })
	if !linear.Linear() {
		t.Errorf("a linear cost counts as one that grows faster: %+v", linear)
	}
	quadratic := Measure(size, func(size int) func() { return func() { count(size * size) } })
	if quadratic.Linear() {
		t.Errorf("a quadratic cost counts as linear: %+v", quadratic)
	}
}

// count takes a time that is proportional to n.
func count(n int) {
	for i := range n {
		sum += i & 1
	}
}
