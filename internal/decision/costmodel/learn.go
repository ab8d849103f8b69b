package costmodel

import "math"

// The prior serves new shapes and values, and its update costs microseconds. It therefore learns only
// from the first executions of a shape and from a sample of the others.
const (
	priorFirstExecutions = 24
	priorSampleInterval  = 16
)

// learnSampleInterval is the sampling interval for executions of well-known buckets.
const learnSampleInterval = 4

// Learn updates the model with the cost of an execution. Implausible costs are ignored.
func (m *Model) Learn(query *Query, observed Observation) {
	record := query.Record
	if record != nil && record.Executions < math.MaxUint32 {
		record.Executions++
	}
	if !plausibleWork(observed.WorkMillis) || m.skips(query) {
		return
	}
	expected := query.estimate
	if !expected.Known {
		expected = m.estimate(query)
	}
	if observed.LowerBound && expected.Known && expected.WorkMillis >= observed.WorkMillis {
		return // a lower bound below the estimate gives no information
	}
	log2Work := math.Log2(observed.WorkMillis)
	if record != nil {
		isNewValue := expected.Record.Samples < newValueSamples
		m.learnSimilar(query, log2Work, isNewValue)
		m.learnShape(query, log2Work, observed.MemoryMB)
	}
	if record == nil || record.Executions < priorFirstExecutions || record.Executions%priorSampleInterval == 0 {
		m.prior.learn(m.featuresOf(query), log2Work, m.weighting())
	}
	m.learnHint(query, log2Work)
	m.learnMemory(query, observed.MemoryMB)
	if expected.Known && query.Profile.Key != 0 && !m.cfg.NoParameters {
		uncorrected := math.Log2(expected.WorkMillis) - expected.FrequentValue.Log2Cost
		m.FrequentValues.add(query.Profile.Key).Offset.add(log2Work-uncorrected, m.weighting())
	}
}

// skips reports whether the model does not learn from an execution because its bucket is sampled: the
// bucket is well known and its recent costs were as expected.
func (m *Model) skips(query *Query) bool {
	if query.Record == nil || query.Record.Executions%learnSampleInterval == 0 {
		return false
	}
	bucket := query.Record.find(m.bucketKey(query))
	return bucket != nil && bucket.Work.Samples >= wellKnownSamples && bucket.Work.steady()
}

// learnShape updates the record of the shape.
func (m *Model) learnShape(query *Query, log2Work, memoryMB float64) {
	record := query.Record
	if m.prior.ready() {
		prediction := m.prior.predict(m.featuresOf(query))
		record.PriorError.add(log2Work-prediction, m.weighting())
		record.PriorPrediction.add(prediction, m.weighting())
	}
	record.Work.add(log2Work, m.weighting())
	bucket := record.findOrReplace(m.bucketKey(query))
	bucket.LastUsed = record.Executions
	bucket.Work.add(log2Work, m.weighting())
	if plausibleMemory(memoryMB) {
		bucket.Memory.add(math.Log2(memoryMB), m.weighting())
	}
}

// learnHint updates the errors of the hint, for the class and for the shape.
func (m *Model) learnHint(query *Query, log2Work float64) {
	if !plausibleWork(query.HintWork) {
		return
	}
	hintError := log2Work - math.Log2(query.HintWork)
	m.classStatistics(query.KnownClass).HintError.add(hintError, m.weighting())
	if query.Record != nil {
		query.Record.HintError.add(hintError, m.weighting())
	}
}

// learnMemory updates the memory of the class and the errors of its hint.
func (m *Model) learnMemory(query *Query, memoryMB float64) {
	if !plausibleMemory(memoryMB) {
		return
	}
	class := m.classStatistics(query.KnownClass)
	log2Memory := math.Log2(memoryMB)
	class.Memory.add(log2Memory, m.weighting())
	if !plausibleMemory(query.HintMemoryMB) {
		return
	}
	hintError := log2Memory - math.Log2(query.HintMemoryMB)
	class.MemoryHintError.add(hintError, m.weighting())
	if query.Record != nil {
		query.Record.MemoryHintError.add(hintError, m.weighting())
	}
}

// learnSimilar updates the errors made on similar values and, if the values are new to the
// shape, on new values. It must run before the record of the shape is updated.
func (m *Model) learnSimilar(query *Query, log2Work float64, isNewValue bool) {
	record := query.Record
	if record.Work.Samples < minTrackedSamples {
		return
	}
	similar := &valueStatistics{}
	if !m.cfg.NoParameters {
		similar = m.SimilarValues.add(similarKey(m.bucketKey(query), query.Profile.Column))
		similar.Offset.add(log2Work-float64(record.Work.Median), m.weighting())
	}
	if !m.prior.ready() || record.PriorError.Samples < minTrackedSamples {
		return
	}
	prediction := m.prior.predict(m.featuresOf(query))
	newValues := &m.NewValues[atypicalityLevel(prediction-float64(record.PriorPrediction.Median))]
	priorError := log2Work - prediction - float64(record.PriorError.Median)
	similar.PriorError.add(priorError, m.weighting())
	if isNewValue {
		newValues.Prior.add(priorError, m.weighting())
	}
	if record.HintError.Samples < minHintSamples || !plausibleWork(query.HintWork) {
		return
	}
	hintError := log2Work - math.Log2(query.HintWork) - float64(record.HintError.Median)
	similar.HintError.add(hintError, m.weighting())
	if isNewValue {
		newValues.Hint.add(hintError, m.weighting())
	}
}
