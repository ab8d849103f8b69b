package costmodel

// spaceSaving stores the most frequent values and the deviations of their cost in constant
// memory, by the Space-Saving algorithm (Metwally, Agrawal, El Abbadi, "Efficient
// Computation of Frequent and Top-k Elements in Data Streams", 2005). It is set-associative,
// so that adding a value needs constant time. Keys are seeded hashes, so that clients can't choose
// which values share a set.
type spaceSaving struct {
	Sets [frequentSets][frequentWays]valueStatistics `cbor:"Sets"`
}

const (
	frequentSets = 64
	frequentWays = 8
	// minFrequentSamples is the least number of occurrences of a value whose cost is corrected.
	minFrequentSamples = 6
	// minFrequentOffset is the least deviation of its cost that is corrected, as a base-2 logarithm:
	// a factor of 1.5.
	minFrequentOffset = 0.6
)

// valueStatistics holds the statistics of one value, or of similar values.
type valueStatistics struct {
	Key   uint64 `cbor:"Key"`
	Count uint32 `cbor:"Count"`
	// Offset is the cost of a frequent value relative to the estimate, and that of similar
	// values relative to the usual cost of their shape.
	Offset Tracker `cbor:"Offset"`
	// The errors that two components made on similar values.
	PriorError Tracker `cbor:"Prior"`
	HintError  Tracker `cbor:"Hint"`
}

// significant reports whether estimates are corrected by the value: its cost deviates enough, over
// enough observations.
func (v *valueStatistics) significant() bool {
	deviates := v.Offset.Median > minFrequentOffset || v.Offset.Median < -minFrequentOffset
	return deviates && v.Offset.Samples >= minFrequentSamples
}

// frequentValueComponent returns the correction for a frequent value.
func frequentValueComponent(v *valueStatistics) Component {
	return Component{
		Log2Cost:  float64(v.Offset.Median),
		Deviation: float64(v.Offset.Deviation),
		Samples:   float64(v.Offset.Samples),
		Weight:    1,
	}
}

// find returns the statistics of a key, or nil. Key 0 means no value.
func (s *spaceSaving) find(key uint64) *valueStatistics {
	if key == 0 {
		return nil
	}
	set := &s.Sets[key%frequentSets]
	for i := range set {
		if set[i].Key == key {
			return &set[i]
		}
	}
	return nil
}

// add counts a value. A new value replaces the least frequent value of its set. It inherits that
// value's count, because it may have occurred as often before.
func (s *spaceSaving) add(key uint64) *valueStatistics {
	const maxCount = 1 << 31
	value := s.find(key)
	if value == nil {
		set := &s.Sets[key%frequentSets]
		value = &set[0]
		for i := range set {
			if set[i].Count < value.Count {
				value = &set[i]
			}
		}
		*value = valueStatistics{Key: key, Count: value.Count}
	}
	if value.Count < maxCount {
		value.Count++
	}
	return value
}
