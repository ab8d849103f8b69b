package costmodel

import "math"

// The prior serves new shapes and values, and an update takes microseconds. It therefore
// learns from the first executions of a shape and from a sample of the others.
const (
	priorFirstExecutions = 24
	priorSampleInterval  = 16
)

// learnSampleInterval is the sampling interval for executions of well-known buckets.
const learnSampleInterval = 4

// Learn updates the model with the cost of an execution. Implausible costs are ignored.
func (m *Model) Learn(q *Query, truth Observation) {
	record := q.Record
	if record != nil && record.Executions < math.MaxUint32 {
		record.Executions++
	}
	if !plausibleWork(truth.WorkMillis) || m.skips(q) {
		return
	}
	before := q.estimate
	if !before.Known {
		before = m.estimate(q)
	}
	if truth.LowerBound && before.Known && before.WorkMillis >= truth.WorkMillis {
		return // a lower bound below the estimate gives no information
	}
	log2Work := math.Log2(truth.WorkMillis)
	if record != nil {
		newValue := before.Record.Samples < newValueSamples
		m.learnSimilar(q, log2Work, newValue)
		m.learnShape(q, log2Work, truth.MemoryMB)
	}
	if record == nil || record.Executions < priorFirstExecutions || record.Executions%priorSampleInterval == 0 {
		m.prior.learn(m.featuresOf(q), log2Work, m.forgets())
	}
	m.learnHint(q, log2Work)
	m.learnMemory(q, truth.MemoryMB)
	if before.Known && q.Profile.Key != 0 && !m.cfg.NoParameters {
		uncorrected := math.Log2(before.WorkMillis) - before.FrequentValue.Log2Cost
		m.FrequentValues.add(q.Profile.Key).Offset.Add(log2Work-uncorrected, m.forgets())
	}
}

// skips reports whether sampling leaves an execution out: its bucket is well known and its
// recent costs were as expected.
func (m *Model) skips(q *Query) bool {
	if q.Record == nil || q.Record.Executions%learnSampleInterval == 0 {
		return false
	}
	bucket := q.Record.find(m.bucketKey(q))
	return bucket != nil && bucket.Work.Samples >= wellKnownSamples && bucket.Work.steady()
}

// learnShape updates the record of the shape.
func (m *Model) learnShape(q *Query, log2Work, memoryMB float64) {
	record := q.Record
	if m.prior.ready() {
		prediction := m.prior.predict(m.featuresOf(q))
		record.PriorError.Add(log2Work-prediction, m.forgets())
		record.PriorPrediction.Add(prediction, m.forgets())
	}
	record.Work.Add(log2Work, m.forgets())
	bucket := record.findOrReplace(m.bucketKey(q))
	bucket.LastUsed = record.Executions
	bucket.Work.Add(log2Work, m.forgets())
	if plausibleMemory(memoryMB) {
		bucket.Memory.Add(math.Log2(memoryMB), m.forgets())
	}
}

// learnHint updates the errors of the hint, for the class and for the shape.
func (m *Model) learnHint(q *Query, log2Work float64) {
	if !plausibleWork(q.HintWork) {
		return
	}
	hintError := log2Work - math.Log2(q.HintWork)
	m.classStatistics(q.KnownClass).HintError.Add(hintError, m.forgets())
	if q.Record != nil {
		q.Record.HintError.Add(hintError, m.forgets())
	}
}

// learnMemory updates the memory of the class and the errors of its hint.
func (m *Model) learnMemory(q *Query, memoryMB float64) {
	if !plausibleMemory(memoryMB) {
		return
	}
	class := m.classStatistics(q.KnownClass)
	log2Memory := math.Log2(memoryMB)
	class.Memory.Add(log2Memory, m.forgets())
	if !plausibleMemory(q.HintMemoryMB) {
		return
	}
	hintError := log2Memory - math.Log2(q.HintMemoryMB)
	class.MemoryHintError.Add(hintError, m.forgets())
	if q.Record != nil {
		q.Record.MemoryHintError.Add(hintError, m.forgets())
	}
}

// learnSimilar updates the errors made on similar values and, where the values are new to
// the shape, on new values. It runs before the shape's record learns of the execution.
func (m *Model) learnSimilar(q *Query, log2Work float64, newValue bool) {
	record := q.Record
	if record.Work.Samples < minTrackedSamples {
		return
	}
	similar := &valueStatistics{}
	if !m.cfg.NoParameters {
		similar = m.SimilarValues.add(similarKey(m.bucketKey(q), q.Profile.Column))
		similar.Offset.Add(log2Work-float64(record.Work.Median), m.forgets())
	}
	if !m.prior.ready() || record.PriorError.Samples < minTrackedSamples {
		return
	}
	prediction := m.prior.predict(m.featuresOf(q))
	newValues := &m.NewValues[atypicalityLevel(prediction-float64(record.PriorPrediction.Median))]
	priorError := log2Work - prediction - float64(record.PriorError.Median)
	similar.PriorError.Add(priorError, m.forgets())
	if newValue {
		newValues.Prior.Add(priorError, m.forgets())
	}
	if record.HintError.Samples < minHintSamples || !plausibleWork(q.HintWork) {
		return
	}
	hintError := log2Work - math.Log2(q.HintWork) - float64(record.HintError.Median)
	similar.HintError.Add(hintError, m.forgets())
	if newValue {
		newValues.Hint.Add(hintError, m.forgets())
	}
}
