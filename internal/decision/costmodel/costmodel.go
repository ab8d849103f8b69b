// Package costmodel predicts the cost and the class of a statement from the costs of earlier
// executions. It is deterministic: it uses no clock and no I/O, and the same calls give the same
// results.
//
// # Use
//
// For each execution the caller fills a Query and passes it to Model.Estimate. When the cost is reported,
// it passes the same Query to Model.Learn. The caller stores the ShapeRecord of each shape, which Learn
// updates; everything else that is learned is part of the Model, and can be stored as a State.
//
// # Estimates
//
// An estimate is an ensemble of four components. Each is weighted by the inverse of the
// observed variance of its errors, which gives the best linear combination of independent
// unbiased estimators:
//
//   - the record of the shape, separately for each profile of the values (record.go);
//   - similar values: how far the costs of executions with similar values deviate from the usual
//     costs of their shapes, over all shapes (similar.go);
//   - the prior, a regression over features that learns from all shapes, corrected by the
//     prior's errors for this shape (prior.go, features.go);
//   - the client's hint, corrected by the errors of earlier hints for this shape.
//
// A frequent value whose cost differs from the cost of other values adds a correction to the
// combined result (frequent.go).
//
// Work is measured in milliseconds on one core and memory in megabytes. Both are stored as
// base-2 logarithms, since costs spread over orders of magnitude and what matters about an error
// is the ratio of the estimate to the cost.
// A single reported cost has little influence on later estimates; see Tracker.
package costmodel

// Limits of plausible reports. Reports outside these limits are ignored: an hour of work on one core
// exceeds the deadlines of all classes.
const (
	minWorkMillis = 0.01
	maxWorkMillis = 3.6e6
	minMemoryMB   = 0.01
	maxMemoryMB   = 1e6
)

func plausibleWork(ms float64) bool   { return ms >= minWorkMillis && ms <= maxWorkMillis }
func plausibleMemory(mb float64) bool { return mb >= minMemoryMB && mb <= maxMemoryMB }

// NoClass is the class index of an execution whose class has not been chosen.
const NoClass = -1

// Class is a class of statements. The expected work of a statement determines its class.
type Class struct {
	Name          string
	MaxWorkMillis float64 // limit of the expected work in ms; 0: no limit
}

// Config configures a Model.
type Config struct {
	// Classes are in ascending order of their limits; the last class has no limit. If the list is empty,
	// the model does not choose classes.
	Classes []Class
	// Hysteresis is the factor by which an estimate must pass the limit between two
	// classes before a bucket changes its class. A factor of 1 means no hysteresis; a lower
	// value is replaced by DefaultHysteresis.
	Hysteresis float64
	// Each of these options switches off one part of the model, independently of the others. Only experiments
	// set them, to measure what that part contributes.
	NoParameters bool // ignores the values of executions: no profiles, similar values and frequent values
	NoPrior      bool // leaves the prior out of estimates
	NoForgetting bool // gives old observations the same weight as new ones
	NoHint       bool // leaves the clients' hints out of estimates
}

// DefaultHysteresis applies if a configuration sets no hysteresis. It keeps a bucket from alternating between two
// classes while its estimate varies around the limit between them.
const DefaultHysteresis = 1.3

// Model learns from executions and estimates others. It is not safe for concurrent use.
type Model struct {
	cfg   Config
	prior *prior
	state
	noErrors Tracker // always empty; used if the errors of a component are not tracked
}

// New returns a model without observations.
func New(cfg Config) *Model {
	if cfg.Hysteresis < 1 {
		cfg.Hysteresis = DefaultHysteresis
	}
	return &Model{cfg: cfg, prior: newPrior()}
}

// usesHint reports whether the hint of a query is a component of its estimate.
func (m *Model) usesHint(query *Query) bool {
	return !m.cfg.NoHint && plausibleWork(query.HintWorkMillis)
}

// weighting returns the weighting of old observations that the configuration selects.
func (m *Model) weighting() weighting {
	if m.cfg.NoForgetting {
		return equalWeights
	}
	return decayingWeights
}
