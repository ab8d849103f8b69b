package stmtstats

import (
	"flaxrelay/internal/decision/costmodel"
	"flaxrelay/internal/sqltext"
)

// Execution is one execution of a statement, from its estimate until its cost is learned. It shares records with
// its Store and must be used only in the goroutine that uses the Store.
type Execution struct {
	Estimate  costmodel.Estimate
	statement *Statement
	parsed    Statement // if the statement was parsed for this execution only, statement points here
	query     costmodel.Query
	cached    *CachedShape // nil: the shape was not cached when the execution was estimated
}

// Hint is the client's own estimate of an execution, as opposed to the Estimate of the Store. A zero field
// means that the client gave no estimate.
type Hint struct {
	WorkMillis float64 // in milliseconds on one core
	MemoryMB   float64
}

// noBinds are the bound values of a statement without parameters.
var noBinds sqltext.Binds

// Estimate estimates one execution. knownClass is the index of its class if the class is already known,
// else costmodel.NoClass. binds may be nil.
func (s *Store) Estimate(statement *Statement, binds *sqltext.Binds, knownClass int, hint Hint) *Execution {
	execution := &Execution{}
	s.estimate(execution, statement, binds, knownClass, hint)
	return execution
}

// estimate sets the fields of the execution, which must be empty except for its field parsed.
func (s *Store) estimate(
	execution *Execution, statement *Statement, binds *sqltext.Binds, knownClass int, hint Hint,
) {
	if binds == nil {
		binds = &noBinds
	}
	analysis := &statement.analysis
	execution.statement = statement
	execution.query = costmodel.Query{
		Features:       &analysis.Features,
		Profile:        analysis.Profile(statement.text, binds, s.hashSeed),
		KnownClass:     knownClass,
		HintWorkMillis: hint.WorkMillis,
		HintMemoryMB:   hint.MemoryMB,
	}
	execution.cached = s.cache.Get(analysis.Fingerprint)
	if execution.cached != nil {
		s.Stats.Hits++
		execution.query.Record = &execution.cached.ShapeRecord
	} else {
		s.Stats.Misses++
	}
	execution.Estimate = s.model.Estimate(&execution.query)
}

// Learn updates the statistics with the cost of an execution. A shape that is not cached
// is offered to the cache, which may reject it.
func (s *Store) Learn(execution *Execution, observed costmodel.Observation) {
	s.Stats.Learned++
	shape := execution.cached
	if shape == nil {
		shape = s.cacheShape(execution.statement)
	}
	execution.query.Record = &shape.ShapeRecord
	s.model.Learn(&execution.query, observed)
}

// cacheShape returns the cached shape of a statement. If the shape is not cached, cacheShape offers a new
// one to the cache and returns it.
func (s *Store) cacheShape(statement *Statement) *CachedShape {
	fingerprint := statement.analysis.Fingerprint
	if shape := s.cache.Get(fingerprint); shape != nil {
		return shape
	}
	shape := s.newShape(statement)
	s.cache.Add(fingerprint, shape)
	return shape
}

// newShape returns a shape without statistics. It parses the statement again, because a Statement does
// not store its normal form.
func (s *Store) newShape(statement *Statement) *CachedShape {
	analysis := s.analyzer.Analyze(statement.text)
	cachedLength := min(len(analysis.NormalForm), maxNormalFormBytes)
	return &CachedShape{
		normalForm: string(analysis.NormalForm[:cachedLength]),
		truncated:  analysis.Truncated || len(analysis.NormalForm) > maxNormalFormBytes,
	}
}
