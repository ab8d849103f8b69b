package costmodel

// spaceSaving stores the statistics of the most frequent values in constant memory, by the
// Space-Saving algorithm (Metwally, Agrawal, El Abbadi, "Efficient Computation of Frequent and
// Top-k Elements in Data Streams", 2005). It is set-associative, so that adding a value needs
// constant time. The keys of frequent values are seeded hashes, so that clients can't choose which values
// share a set.
type spaceSaving struct {
	Sets [valueSets][valuesPerSet]valueStatistics `cbor:"Sets"`
}

const (
	valueSets    = 64
	valuesPerSet = 8
)

// valueStatistics holds the statistics of one value, or of similar values.
type valueStatistics struct {
	Key   uint64 `cbor:"Key"`
	Count uint32 `cbor:"Count"`
	// For a frequent value, Offset is the cost relative to the estimate. For similar values, it is the cost
	// relative to the usual cost of the shapes.
	Offset Tracker `cbor:"Offset"`
	// The errors of the prior and the hint for executions with similar values.
	PriorError Tracker `cbor:"Prior"`
	HintError  Tracker `cbor:"Hint"`
}

// find returns the statistics of a key, or nil. Key 0 means no value.
func (s *spaceSaving) find(key uint64) *valueStatistics {
	if key == 0 {
		return nil
	}
	set := &s.Sets[key%valueSets]
	for i := range set {
		if set[i].Key == key {
			return &set[i]
		}
	}
	return nil
}

// add counts a value. A new value replaces the least frequent value of its set and inherits the count of
// that value, because the new value may have occurred as often before.
func (s *spaceSaving) add(key uint64) *valueStatistics {
	const maxCount = 1 << 31
	value := s.find(key)
	if value == nil {
		set := &s.Sets[key%valueSets]
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
