package costmodel

import "flaxrelay/internal/sqltext"

// Query describes one execution to the model. The caller fills it for Estimate, and passes it to Learn when the cost is
// known.
type Query struct {
	Record   *ShapeRecord // record of the statement's shape; nil if there is none
	Features *sqltext.Features
	Profile  sqltext.Profile
	// KnownClass is the index of the class if the class is already known, else NoClass. It is an index into the
	// caller's list of all classes, whereas Estimate.Class is an index into Config.Classes.
	KnownClass     int
	HintWorkMillis float64 // the client's estimate of the work; 0: none
	HintMemoryMB   float64 // the client's estimate of the memory; 0: none

	// Results of Estimate, which Learn reuses.
	vector      vector
	vectorReady bool
	estimate    Estimate
}

// Observation is the reported cost of an execution. A zero field means that nothing was reported.
type Observation struct {
	WorkMillis float64
	MemoryMB   float64
	// LowerBound means that the execution was cancelled before it completed, so that the work is a
	// lower bound. Without such observations, the model would learn the cost of expensive
	// statements only from executions that completed in time.
	LowerBound bool
}

// bucketKey returns the key of the bucket that the query's values belong to.
func (m *Model) bucketKey(query *Query) uint32 {
	if m.cfg.NoParameters {
		return 0
	}
	return query.Profile.Bucket()
}

// vectorOf returns the query's feature vector, which is computed once.
func (m *Model) vectorOf(query *Query) *vector {
	if !query.vectorReady {
		profile := &query.Profile
		if m.cfg.NoParameters {
			profile = &sqltext.Profile{}
		}
		query.vector = newVector(query.Features, profile, query.KnownClass)
		query.vectorReady = true
	}
	return &query.vector
}
