package stmtstats

import (
	"flaxrelay/internal/decision/costmodel"
	"flaxrelay/internal/sqltext"
)

// Execution is one execution of a statement whose cost is not known yet.
type Execution struct {
	Estimate  costmodel.Estimate
	statement *Statement
	own       Statement // the statement, where it was parsed for this execution alone
	query     costmodel.Query
	cached    *CachedShape // nil: the shape was not cached when the execution was estimated
}

// Hint is the client's own estimate of an execution. A zero field means that none was given.
type Hint struct {
	WorkMillis float64 // in milliseconds on one core
	MemoryMB   float64
}

// noBinds stands for the bound values of a statement without any.
var noBinds sqltext.Binds

// Estimate estimates one execution. known is the index of its class where that is already
// decided, else -1. binds may be nil.
func (s *Store) Estimate(statement *Statement, binds *sqltext.Binds, known int, hint Hint) *Execution {
	x := &Execution{}
	s.estimate(x, statement, binds, known, hint)
	return x
}

func (s *Store) estimate(x *Execution, statement *Statement, binds *sqltext.Binds, known int, hint Hint) {
	if binds == nil {
		binds = &noBinds
	}
	reading := &statement.reading
	x.statement = statement
	x.query = costmodel.Query{
		Features:     &reading.Features,
		Profile:      reading.Profile(statement.text, binds, s.hashSeed),
		KnownClass:   known,
		HintWork:     hint.WorkMillis,
		HintMemoryMB: hint.MemoryMB,
	}
	if x.cached = s.cache.Get(reading.Fingerprint); x.cached != nil {
		s.Stats.Hits++
		x.query.Record = &x.cached.ShapeRecord
	} else {
		s.Stats.Misses++
	}
	x.Estimate = s.model.Estimate(&x.query)
}

// Learn updates the statistics with the cost of an execution. A shape that is not cached
// is offered to the cache, which may reject it.
func (s *Store) Learn(x *Execution, truth costmodel.Observation) {
	s.Stats.Learned++
	shape := x.cached
	if shape == nil {
		shape = s.cacheShape(x.statement)
	}
	x.query.Record = &shape.ShapeRecord
	s.model.Learn(&x.query, truth)
}

// cacheShape returns the cached shape of a statement, and offers a new one to the cache
// where there is none.
func (s *Store) cacheShape(statement *Statement) *CachedShape {
	fingerprint := statement.reading.Fingerprint
	if shape := s.cache.Get(fingerprint); shape != nil {
		return shape
	}
	shape := s.newShape(statement)
	s.cache.Add(fingerprint, shape)
	return shape
}

// newShape parses the statement again for its normal form, which a Statement does not keep.
func (s *Store) newShape(statement *Statement) *CachedShape {
	reading := s.reader.Analyze(statement.text)
	kept := min(len(reading.NormalForm), maxNormalFormBytes)
	return &CachedShape{
		normalForm: string(reading.NormalForm[:kept]),
		truncated:  reading.Truncated || len(reading.NormalForm) > maxNormalFormBytes,
	}
}
