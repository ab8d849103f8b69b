package costmodel

// maxBuckets is the maximum number of profiles that the record of one shape distinguishes.
const maxBuckets = 8

// ShapeRecord is the record of one shape. All trackers hold base-2 logarithms. All records have the
// same size.
type ShapeRecord struct {
	Executions      uint32             `cbor:"Seen"`   // number of executions, saturating
	Work            Tracker            `cbor:"All"`    // cost of executions with any values
	PriorError      Tracker            `cbor:"Offset"` // cost relative to the prior's prediction
	PriorPrediction Tracker            `cbor:"Usual"`  // the prior's predictions for executions of the shape
	HintError       Tracker            `cbor:"Hint"`   // cost relative to the hint
	MemoryHintError Tracker            `cbor:"Memory"` // memory relative to the memory hint
	Buckets         [maxBuckets]Bucket `cbor:"Buckets"`
}

// Bucket is the record of the executions of one shape that have the same coarse profile of their values.
type Bucket struct {
	Key      uint32  `cbor:"Key"`
	LastUsed uint32  `cbor:"Used"` // ShapeRecord.Executions when the bucket was last used
	Work     Tracker `cbor:"Work"`
	Memory   Tracker `cbor:"Memory"`
	// ClassPlusOne is one more than the index of the class that was chosen last; 0: none yet.
	ClassPlusOne uint8 `cbor:"Class"`
}

// find returns the bucket of a key, or nil.
func (r *ShapeRecord) find(key uint32) *Bucket {
	for i := range r.Buckets {
		if bucket := &r.Buckets[i]; bucket.Work.Samples > 0 && bucket.Key == key {
			return bucket
		}
	}
	return nil
}

// findOrReplace returns the bucket of a key. If there is none, it returns an empty bucket, which replaces
// the least recently used one if all are in use.
func (r *ShapeRecord) findOrReplace(key uint32) *Bucket {
	if bucket := r.find(key); bucket != nil {
		return bucket
	}
	victim := &r.Buckets[0]
	for i := range r.Buckets {
		bucket := &r.Buckets[i]
		if bucket.Work.Samples == 0 {
			victim = bucket
			break
		}
		if bucket.LastUsed < victim.LastUsed {
			victim = bucket
		}
	}
	*victim = Bucket{Key: key}
	return victim
}
