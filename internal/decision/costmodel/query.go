package costmodel

import "flaxrelay/internal/sqltext"

// Query is one execution to estimate, and later to learn from.
type Query struct {
	Record       *ShapeRecord // of the statement's shape; nil: none is kept
	Features     *sqltext.Features
	Profile      sqltext.Profile
	KnownClass   int     // index of the class where it is decided already, else NoClass
	HintWork     float64 // the client's estimate of the work in ms; 0: none
	HintMemoryMB float64 // the client's estimate of the memory; 0: none

	// Learn reuses what Estimate has computed.
	features      vector
	featuresReady bool
	estimate      Estimate
}

// Observation is the reported cost of an execution. A zero field means that nothing was reported.
type Observation struct {
	WorkMillis, MemoryMB float64
	// LowerBound means that the execution was cancelled before its end, so that the work is a
	// lower bound. It prevents the model from learning of expensive statements only from
	// those executions that ended in time.
	LowerBound bool
}

// bucketKey returns the key of the bucket that the query's values belong to.
func (m *Model) bucketKey(q *Query) uint32 {
	if m.cfg.NoParameters {
		return 0
	}
	return q.Profile.Bucket()
}

// featuresOf returns the query's feature vector, which is computed once.
func (m *Model) featuresOf(q *Query) *vector {
	if !q.featuresReady {
		profile := &q.Profile
		if m.cfg.NoParameters {
			profile = &sqltext.Profile{}
		}
		q.features, q.featuresReady = newVector(q.Features, profile, q.KnownClass), true
	}
	return &q.features
}
