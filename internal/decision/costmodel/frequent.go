package costmodel

import "math"

const (
	// minFrequentSamples is the number of observations of a value that are needed before estimates for the
	// value are corrected.
	minFrequentSamples = 6
	// minFrequentOffset is the deviation that a value's cost must exceed before estimates for the value are
	// corrected, as a base-2 logarithm: a factor of 1.5.
	minFrequentOffset = 0.6
)

// frequentValueComponent returns the correction for the query's value. The correction is empty, and changes
// nothing, unless the value is frequent and its cost differs from the cost of other values.
func (m *Model) frequentValueComponent(query *Query) Component {
	if m.cfg.NoParameters {
		return Component{}
	}
	value := m.FrequentValues.find(query.Profile.Key)
	if value == nil || !value.significant() {
		return Component{}
	}
	return Component{
		Log2Cost:  float64(value.Offset.Median),
		Deviation: float64(value.Offset.Deviation),
		Samples:   float64(value.Offset.Samples),
		Weight:    1,
	}
}

// significant reports whether the cost of the value has deviated enough, over enough observations, for
// estimates to be corrected.
func (v *valueStatistics) significant() bool {
	deviates := v.Offset.Median > minFrequentOffset || v.Offset.Median < -minFrequentOffset
	return deviates && v.Offset.Samples >= minFrequentSamples
}

// learnFrequentValue counts the query's value and updates the deviation of its cost.
func (m *Model) learnFrequentValue(query *Query, expected *Estimate, log2Work float64) {
	if m.cfg.NoParameters || query.Profile.Key == 0 || !expected.Known {
		return
	}
	uncorrected := math.Log2(expected.WorkMillis) - expected.FrequentValue.Log2Cost
	m.FrequentValues.add(query.Profile.Key).Offset.add(log2Work-uncorrected, m.weighting())
}
