package main

import (
	"fmt"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// sample is a set of measurements in ascending order.
type sample []float64

// newSample returns a sample with one value for each result. The function figure determines the value.
func newSample[R any](results []R, figure func(R) float64) sample {
	values := make(sample, len(results))
	for i, result := range results {
		values[i] = figure(result)
	}
	slices.Sort(values)
	return values
}

func (s sample) median() float64 {
	const half = 0.5
	return stat.Quantile(half, stat.Empirical, s, nil)
}

// spread formats the median with the minimum and the maximum, each with the given number of decimal places.
func (s sample) spread(digits int) string {
	return fmt.Sprintf("%.*f (%.*f to %.*f)", digits, s.median(), digits, s[0], digits, s[len(s)-1])
}
