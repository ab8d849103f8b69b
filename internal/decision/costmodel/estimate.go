package costmodel

import "math"

// Estimate is the expected cost of an execution.
type Estimate struct {
	Known        bool    // whether there is an estimate
	WorkMillis   float64 // median, in ms
	SpreadFactor float64 // factor from the median to the 90th percentile
	MemoryMB     float64 // 0: unknown
	Class        int     // index into Config.Classes, or NoClass

	// The components of the ensemble.
	Record, Similar, Prior, Hint Component
	// FrequentValue is the correction for a frequent value whose cost differs from the cost of other
	// values. It is added to the ensemble's result.
	FrequentValue Component
}

const (
	// wellKnownSamples is the number of executions after which a bucket counts as well known. Estimates for a
	// well-known bucket leave out the prior, because the other components suffice. While costs are as expected, the
	// model learns only from a sample of the bucket's executions. Most traffic belongs to such buckets.
	wellKnownSamples = 200
	// minTrackedSamples is the number of observations from which a Tracker of offsets or errors is used.
	minTrackedSamples = 2
	// minClassMemorySamples is the number of observations from which the usual memory of a class is used.
	minClassMemorySamples = 3
	// percentile90 is the 90th percentile of the standard normal distribution.
	percentile90 = 1.28
)

// Estimate returns the expected cost of an execution and stores it in the query for Learn. It also
// stores the class in the bucket of the query's record.
func (m *Model) Estimate(query *Query) Estimate {
	query.estimate = m.estimate(query)
	return query.estimate
}

func (m *Model) estimate(query *Query) Estimate {
	estimate := Estimate{Class: NoClass}
	var bucket *Bucket
	if query.Record != nil {
		bucket = query.Record.find(m.bucketKey(query))
	}
	if bucket != nil {
		estimate.Record = componentOf(&bucket.Work, 0)
	}
	m.estimateComponents(query, bucket, &estimate)
	log2Cost, variance, ok := combine(&estimate.Record, &estimate.Similar, &estimate.Prior, &estimate.Hint)
	if !ok {
		return estimate
	}
	estimate.FrequentValue = m.frequentValueComponent(query)
	log2Cost += estimate.FrequentValue.Log2Cost
	estimate.Known = true
	estimate.WorkMillis = math.Exp2(max(min(log2Cost, math.Log2(maxWorkMillis)), math.Log2(minWorkMillis)))
	estimate.SpreadFactor = math.Exp2(percentile90 * math.Sqrt(variance))
	estimate.MemoryMB = m.memory(query, bucket)
	estimate.Class = m.classify(estimate.WorkMillis, bucket)
	return estimate
}

// estimateComponents sets the components of the ensemble other than the shape's record.
func (m *Model) estimateComponents(query *Query, bucket *Bucket, estimate *Estimate) {
	record := query.Record
	wellKnown := bucket != nil && bucket.Work.Samples >= wellKnownSamples
	atypicality := 0.0
	if !wellKnown && !m.cfg.NoPrior && m.prior.ready() {
		estimate.Prior, atypicality = m.priorComponent(query)
	}
	if m.usesHint(query) {
		var shapeErrors *Tracker
		if record != nil {
			shapeErrors = &record.HintError
		}
		classErrors := &m.classStatistics(query.KnownClass).HintError
		estimate.Hint = hintComponent(query.HintWorkMillis, shapeErrors, classErrors)
	}
	similar := m.findSimilar(query)
	similarKnown := similar != nil && similar.Offset.Samples >= minTrackedSamples
	if record != nil && record.Work.Samples >= minTrackedSamples && similarKnown {
		estimate.Similar = componentOf(&similar.Offset, float64(record.Work.Median))
	}
	if wellKnown {
		return
	}
	errors := m.relevantErrors(query, bucket, similar, atypicality)
	errors.prior.adjust(&estimate.Prior, atypicality)
	errors.hint.adjust(&estimate.Hint, atypicality)
}

// priorComponent returns the prior's component and the atypicality of the execution: the difference between
// the prior's prediction for this execution and the prior's usual predictions for the shape. The atypicality is 0 if
// too few errors of the prior are known for the shape.
func (m *Model) priorComponent(query *Query) (component Component, atypicality float64) {
	prediction := m.prior.predict(m.vectorOf(query))
	if record := query.Record; record != nil && record.PriorError.Samples >= minTrackedSamples {
		return componentOf(&record.PriorError, prediction), prediction - float64(record.PriorPrediction.Median)
	}
	return componentOf(&m.prior.Errors, prediction), 0
}

// memory returns the expected memory in MB. It combines the corrected hint with the memory of the bucket or, if
// that is unknown, with the usual memory of the class. It returns 0 if none of them is known.
func (m *Model) memory(query *Query, bucket *Bucket) float64 {
	var record, hint Component
	class := m.classStatistics(query.KnownClass)
	switch {
	case bucket != nil && bucket.Memory.Samples > 0:
		record = componentOf(&bucket.Memory, 0)
	case class.Memory.Samples >= minClassMemorySamples:
		record = componentOf(&class.Memory, 0)
	}
	if !m.cfg.NoHint && plausibleMemory(query.HintMemoryMB) {
		var shapeErrors *Tracker
		if query.Record != nil {
			shapeErrors = &query.Record.MemoryHintError
		}
		hint = hintComponent(query.HintMemoryMB, shapeErrors, &class.MemoryHintError)
	}
	log2Memory, _, ok := combine(&record, &hint)
	if !ok {
		return 0
	}
	return math.Exp2(log2Memory)
}
