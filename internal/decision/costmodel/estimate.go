package costmodel

import "math"

// Estimate is the expected cost of an execution.
type Estimate struct {
	Known        bool    // whether there is an estimate
	WorkMillis   float64 // median, in ms
	SpreadFactor float64 // factor from the median to the 90th percentile
	MemoryMB     float64 // 0: unknown
	Class        int     // index among the configured classes, or NoClass

	// The components of the ensemble.
	Record, Similar, Prior, Hint Component
	// FrequentValue is the correction for a value that is requested often and deviates from
	// the others. It is added to the ensemble's result.
	FrequentValue Component
}

const (
	// wellKnownSamples is how many executions of a bucket must be known until its record and
	// the hint suffice as components, and until only a sample of its executions is learned
	// from while these cost what is expected. Most traffic is of such shapes.
	wellKnownSamples = 200
	// minTrackedSamples is the least number of observations that make an offset usable.
	minTrackedSamples = 2
	// minClassMemorySamples is how many observations make the usual memory of a class usable.
	minClassMemorySamples = 3
	// percentile90 is the 90th percentile of the standard normal distribution.
	percentile90 = 1.28
)

// Estimate returns the expected cost of an execution. It changes nothing but the class of
// the bucket.
func (m *Model) Estimate(q *Query) Estimate {
	q.estimate = m.estimate(q)
	return q.estimate
}

func (m *Model) estimate(q *Query) Estimate {
	est := Estimate{Class: NoClass}
	var bucket *Bucket
	if q.Record != nil {
		bucket = q.Record.find(m.bucketKey(q))
	}
	if bucket != nil {
		est.Record = componentOf(&bucket.Work, 0)
	}
	m.estimateComponents(q, bucket, &est)
	log2Cost, variance, ok := combine(&est.Record, &est.Similar, &est.Prior, &est.Hint)
	if !ok {
		return est
	}
	if value := m.FrequentValues.find(q.Profile.Key); !m.cfg.NoParameters && value != nil && value.significant() {
		est.FrequentValue = frequentValueComponent(value)
		log2Cost += est.FrequentValue.Log2Cost
	}
	est.Known = true
	est.WorkMillis = math.Exp2(max(min(log2Cost, math.Log2(maxWork)), math.Log2(minWork)))
	est.SpreadFactor = math.Exp2(percentile90 * math.Sqrt(variance))
	est.MemoryMB = m.memory(q, bucket)
	est.Class = m.classify(est.WorkMillis, bucket)
	return est
}

// estimateComponents sets the components beside the shape's own record.
func (m *Model) estimateComponents(q *Query, bucket *Bucket, est *Estimate) {
	wellKnown := bucket != nil && bucket.Work.Samples >= wellKnownSamples
	atypicality := 0.0
	if !wellKnown && !m.cfg.NoPrior && m.prior.ready() {
		est.Prior, atypicality = m.priorComponent(q)
	}
	if m.usesHint(q) {
		var shapeErrors *Tracker
		if q.Record != nil {
			shapeErrors = &q.Record.HintError
		}
		est.Hint = hintComponent(q.HintWork, shapeErrors, &m.classStatistics(q.KnownClass).HintError)
	}
	similar := m.findSimilar(q)
	similarKnown := similar != nil && similar.Offset.Samples >= minTrackedSamples
	if r := q.Record; r != nil && r.Work.Samples >= minTrackedSamples && similarKnown {
		est.Similar = componentOf(&similar.Offset, float64(r.Work.Median))
	}
	if !wellKnown {
		priorErrors, hintErrors := m.relevantErrors(q, bucket, similar, atypicality)
		priorErrors.adjust(&est.Prior, atypicality)
		hintErrors.adjust(&est.Hint, atypicality)
	}
}

// priorComponent returns the prior's estimator, and how far the prior's prediction for this
// execution lies from its usual ones for the shape.
func (m *Model) priorComponent(q *Query) (c Component, atypicality float64) {
	prediction := m.prior.predict(m.featuresOf(q))
	if r := q.Record; r != nil && r.PriorError.Samples >= minTrackedSamples {
		return componentOf(&r.PriorError, prediction), prediction - float64(r.PriorPrediction.Median)
	}
	return componentOf(&m.prior.Errors, prediction), 0
}

// memory returns the expected memory in MB: an ensemble of the record and the corrected
// hint. It is 0 where nothing is known.
func (m *Model) memory(q *Query, bucket *Bucket) float64 {
	var record, hint Component
	class := m.classStatistics(q.KnownClass)
	switch {
	case bucket != nil && bucket.Memory.Samples > 0:
		record = componentOf(&bucket.Memory, 0)
	case class.Memory.Samples >= minClassMemorySamples:
		record = componentOf(&class.Memory, 0)
	}
	if !m.cfg.NoHint && plausibleMemory(q.HintMemoryMB) {
		var shapeErrors *Tracker
		if q.Record != nil {
			shapeErrors = &q.Record.MemoryHintError
		}
		hint = hintComponent(q.HintMemoryMB, shapeErrors, &class.MemoryHintError)
	}
	log2Memory, _, ok := combine(&record, &hint)
	if !ok {
		return 0
	}
	return math.Exp2(log2Memory)
}
