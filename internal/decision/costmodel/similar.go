package costmodel

import "math"

// Values are new to a shape if few earlier executions of the shape belong to the bucket of these values. The
// errors that the prior and the hint made for a shape hardly predict their errors for values that are new to the
// shape. Estimates for new values are therefore corrected further, by errors over all shapes:
//
//   - by the errors for executions with similar values, if enough of them are known;
//   - otherwise by the errors for executions whose values were new to their shape.
//
// Without this correction, a broad report would get the estimate of a lookup of the same shape.

const (
	// newValueSamples is the number of executions of a bucket after which the values in the bucket no longer
	// count as new to the shape.
	newValueSamples = 5
	// similarValueSamples is the number of executions of a bucket after which the errors for executions with
	// similar values are no longer used.
	similarValueSamples = 10
)

// newValueErrors are the errors of the prior and the hint for executions whose values were new to their shape.
type newValueErrors struct {
	Prior Tracker `cbor:"Prior"`
	Hint  Tracker `cbor:"Hint"`
}

// componentErrors are the errors by which the prior and the hint must be corrected.
type componentErrors struct {
	prior *Tracker
	hint  *Tracker
}

// atypicalityLevels is the number of levels that atypicalityLevel returns.
const atypicalityLevels = 3

// atypicalityLevel returns 0, 1 or 2 for a small, moderate or strong difference between the prior's prediction
// for an execution and the prior's usual predictions for the shape.
func atypicalityLevel(atypicality float64) int {
	const (
		moderate = 0.7 // a base-2 logarithm: a factor of 1.6
		strong   = 2   // a factor of 4
	)
	switch distance := math.Abs(atypicality); {
	case distance < moderate:
		return 0
	case distance < strong:
		return 1
	}
	return 2
}

// findSimilar returns the statistics of values similar to the query's values, or nil.
func (m *Model) findSimilar(query *Query) *valueStatistics {
	if m.cfg.NoParameters {
		return nil
	}
	return m.SimilarValues.find(similarKey(m.bucketKey(query), query.Profile.Column))
}

// relevantErrors returns the errors by which the prior and the hint must be corrected.
func (m *Model) relevantErrors(
	query *Query, bucket *Bucket, similar *valueStatistics, atypicality float64,
) componentErrors {
	errors := componentErrors{prior: &m.noErrors, hint: &m.noErrors}
	if query.Record != nil && (bucket == nil || bucket.Work.Samples < newValueSamples) {
		newValues := &m.NewValues[atypicalityLevel(atypicality)]
		errors = componentErrors{prior: &newValues.Prior, hint: &newValues.Hint}
	}
	if similar == nil || bucket != nil && bucket.Work.Samples >= similarValueSamples {
		return errors
	}
	if similar.PriorError.Samples >= minTrackedSamples {
		errors.prior = &similar.PriorError
	}
	if similar.HintError.Samples >= minTrackedSamples {
		errors.hint = &similar.HintError
	}
	return errors
}

// adjust corrects a component by the median of the tracked errors. It also raises the component's deviation to the
// deviation of the errors, if the errors deviate more. If too few errors are known, adjust only raises the
// component's deviation by the atypicality.
func (t *Tracker) adjust(component *Component, atypicality float64) {
	switch {
	case component.Samples == 0:
	case t.Samples >= minTrackedSamples:
		component.Log2Cost += float64(t.Median)
		component.Deviation = math.Max(component.Deviation, math.Sqrt(t.variance()))
	default:
		component.Deviation = math.Hypot(component.Deviation, atypicality)
	}
}

// learnSimilar updates the statistics of executions with values similar to the query's values. If the query's values
// are new to its shape, learnSimilar also updates the newValueErrors. It must run before the record of the shape is
// updated.
func (m *Model) learnSimilar(query *Query, expected *Estimate, log2Work float64) {
	record := query.Record
	if record.Work.Samples < minTrackedSamples {
		return
	}
	isNewValue := expected.Record.Samples < newValueSamples
	similar := &valueStatistics{} // not stored if NoParameters is set
	if !m.cfg.NoParameters {
		similar = m.SimilarValues.add(similarKey(m.bucketKey(query), query.Profile.Column))
		similar.Offset.add(log2Work-float64(record.Work.Median), m.weighting())
	}
	if !m.prior.ready() || record.PriorError.Samples < minTrackedSamples {
		return
	}
	prediction := m.prior.predict(m.vectorOf(query))
	newValues := &m.NewValues[atypicalityLevel(prediction-float64(record.PriorPrediction.Median))]
	priorError := log2Work - prediction - float64(record.PriorError.Median)
	similar.PriorError.add(priorError, m.weighting())
	if isNewValue {
		newValues.Prior.add(priorError, m.weighting())
	}
	if record.HintError.Samples < minHintSamples || !plausibleWork(query.HintWorkMillis) {
		return
	}
	hintError := log2Work - math.Log2(query.HintWorkMillis) - float64(record.HintError.Median)
	similar.HintError.add(hintError, m.weighting())
	if isNewValue {
		newValues.Hint.add(hintError, m.weighting())
	}
}

// similarKey identifies similar values across all shapes: by their bucket and by the column of the
// longest list or the widest range. An array of all districts, for example, has similar effects on the
// cost of every statement.
func similarKey(bucket, column uint32) uint64 {
	const (
		multiplier  = 0x9e3779b97f4a7c15 // 2^64 divided by the golden ratio
		bucketShift = 32
		firstShift  = 31
		secondShift = 29
	)
	hash := uint64(bucket)<<bucketShift | uint64(column)
	hash = (hash ^ hash>>firstShift) * multiplier
	hash ^= hash >> secondShift
	if hash == 0 {
		return 1 // 0 means no key
	}
	return hash
}
