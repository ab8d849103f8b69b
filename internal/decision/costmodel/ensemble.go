package costmodel

import "math"

// Component is the estimate of one component of the ensemble, and its share of the result.
type Component struct {
	Log2Cost  float64 // base-2 logarithm of the expected cost
	Deviation float64 // expected error of Log2Cost
	Samples   float64 // number of observations; 0: the component is not used
	Weight    float64 // its share of the estimate, 0 to 1
}

// componentOf returns the component whose cost is the base plus the tracked median. The base is 0 for a
// tracker of absolute costs.
func componentOf(tracker *Tracker, base float64) Component {
	return Component{
		Log2Cost:  base + float64(tracker.Median),
		Deviation: math.Sqrt(tracker.variance()),
		Samples:   float64(tracker.Samples),
	}
}

// combine weights the components by the inverse of their variances. It ignores components without
// samples. ok is false if no component has samples.
func combine(components ...*Component) (log2Cost, variance float64, ok bool) {
	totalWeight := 0.0
	for _, c := range components {
		if c.Samples > 0 {
			c.Weight = 1 / (c.Deviation * c.Deviation)
			totalWeight += c.Weight
		}
	}
	if totalWeight == 0 {
		return 0, 0, false
	}
	for _, c := range components {
		c.Weight /= totalWeight
		log2Cost += c.Weight * c.Log2Cost
	}
	return log2Cost, 1 / totalWeight, true
}

const (
	// minHintSamples is the number of known errors that are needed to correct a hint.
	minHintSamples = 3
	// uncorrectedHintDeviation is the expected error of a hint that is not corrected, as a base-2
	// logarithm: a factor of four.
	uncorrectedHintDeviation = 2
)

// hintComponent returns the component of a hint. The hint is corrected by the errors of earlier hints for the
// shape or, if too few of them are known, for the class. shapeErrors may be nil.
func hintComponent(hint float64, shapeErrors, classErrors *Tracker) Component {
	log2Hint := math.Log2(hint)
	switch {
	case shapeErrors != nil && shapeErrors.Samples >= minHintSamples:
		return componentOf(shapeErrors, log2Hint)
	case classErrors.Samples >= minHintSamples:
		return componentOf(classErrors, log2Hint)
	}
	return Component{Log2Cost: log2Hint, Deviation: uncorrectedHintDeviation, Samples: 1}
}
