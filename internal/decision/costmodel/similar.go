package costmodel

import "math"

// A component's errors for a shape say little of values unlike those seen before. The
// estimate then uses the errors that the component made on such values, over all shapes.
// That prevents a broad report from passing as the lookup whose shape it has.

const (
	// newValueSamples is how many executions a bucket needs until its values no longer count
	// as new to the shape.
	newValueSamples = 5
	// similarValueSamples is how many executions a bucket needs until the errors made on
	// similar values no longer count.
	similarValueSamples = 10
)

// newValueErrors are the errors that two components made on values new to a shape.
type newValueErrors struct {
	Prior Tracker `cbor:"Prior"`
	Hint  Tracker `cbor:"Hint"`
}

// atypicalityLevels is the number of levels that atypicalityLevel returns.
const atypicalityLevels = 3

// atypicalityLevel grades the distance between the prior's predictions for an execution
// and for the shape's usual ones.
func atypicalityLevel(atypicality float64) int {
	const moderate, strong = 0.7, 2 // base-2 logarithms: factors of 1.6 and 4
	switch distance := math.Abs(atypicality); {
	case distance < moderate:
		return 0
	case distance < strong:
		return 1
	}
	return 2
}

// findSimilar returns the statistics of values like those of the query, or nil.
func (m *Model) findSimilar(q *Query) *valueStatistics {
	if m.cfg.NoParameters {
		return nil
	}
	return m.SimilarValues.find(similarKey(m.bucketKey(q), q.Profile.Column))
}

// relevantErrors returns the errors by which the prior and the hint are to be adjusted.
func (m *Model) relevantErrors(q *Query, bucket *Bucket, similar *valueStatistics, atypicality float64) (prior, hint *Tracker) {
	prior, hint = &m.noErrors, &m.noErrors
	if q.Record != nil && (bucket == nil || bucket.Work.Samples < newValueSamples) {
		errors := &m.NewValues[atypicalityLevel(atypicality)]
		prior, hint = &errors.Prior, &errors.Hint
	}
	if similar == nil || bucket != nil && bucket.Work.Samples >= similarValueSamples {
		return prior, hint
	}
	if similar.PriorError.Samples >= minTrackedSamples {
		prior = &similar.PriorError
	}
	if similar.HintError.Samples >= minTrackedSamples {
		hint = &similar.HintError
	}
	return prior, hint
}

// adjust corrects a component by the tracked errors and raises its deviation to theirs.
// Where too few errors are known, the atypicality takes their place.
func (t *Tracker) adjust(c *Component, atypicality float64) {
	switch {
	case c.Samples == 0:
	case t.Samples >= minTrackedSamples:
		c.Log2Cost += float64(t.Median)
		c.Deviation = math.Max(c.Deviation, math.Sqrt(t.Variance()))
	default:
		c.Deviation = math.Hypot(c.Deviation, atypicality)
	}
}

// similarKey identifies similar values, whatever the shape: by their bucket and by the
// column of the longest list or the widest range. An array of all districts means the same
// to each statement that takes one.
func similarKey(bucket, column uint32) uint64 {
	const multiplier = 0x9e3779b97f4a7c15 // 2^64 divided by the golden ratio
	h := uint64(bucket)<<32 | uint64(column)
	h = (h ^ h>>31) * multiplier
	if h ^= h >> 29; h == 0 {
		h = 1 // 0 means no key
	}
	return h
}
