package costmodel

import "math"

// The prior serves new shapes and values, and its update costs microseconds. It therefore learns only
// from the first executions of a shape and from a sample of the others.
const (
	priorFirstExecutions = 24
	priorSampleInterval  = 16
)

// learnSampleInterval is the sampling interval for well-known buckets. While the costs of such a bucket are as
// expected, the model learns from an execution only if the execution's number within the shape is a multiple of
// the interval.
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
		m.learnSimilar(query, &expected, log2Work)
		m.learnShape(query, log2Work, observed.MemoryMB)
	}
	if record == nil || record.Executions < priorFirstExecutions || record.Executions%priorSampleInterval == 0 {
		m.prior.learn(m.vectorOf(query), log2Work, m.weighting())
	}
	m.learnHint(query, log2Work)
	m.learnMemory(query, observed.MemoryMB)
	m.learnFrequentValue(query, &expected, log2Work)
}

// skips reports whether sampling leaves an execution out. Only a bucket that is well known and whose recent
// costs were as expected is sampled.
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
		prediction := m.prior.predict(m.vectorOf(query))
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
	if !plausibleWork(query.HintWorkMillis) {
		return
	}
	hintError := log2Work - math.Log2(query.HintWorkMillis)
	m.classStatistics(query.KnownClass).HintError.add(hintError, m.weighting())
	if query.Record != nil {
		query.Record.HintError.add(hintError, m.weighting())
	}
}

// learnMemory updates the memory of the class, and the errors of the memory hint for the class and the shape.
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
