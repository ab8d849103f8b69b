// Package costmodel predicts what a statement costs, and of which class it is, from the
// costs of earlier executions. It is pure: it uses no clock and no I/O, and the same calls
// give the same results.
//
// An estimate is an ensemble of four components. Each is weighted by the inverse of the
// variance that its errors have shown, which is the best linear combination of independent
// unbiased estimators:
//
//   - the record of the shape, separately for each profile of the values;
//   - similar values: the deviation of executions with such values from the usual cost of
//     their shapes, over all shapes;
//   - the prior, a regression over features that learns from all shapes, corrected by its
//     errors for this shape;
//   - the client's hint, corrected by its errors for this shape.
//
// Work is measured in milliseconds on one core and memory in megabytes. Both are stored as
// base-2 logarithms, since costs spread over orders of magnitude and errors count by ratio.
// A single reported cost has little influence: see Tracker.
package costmodel

// Limits of plausible reports. Reports outside these limits are ignored: an hour of work on one core
// exceeds the deadlines of all classes.
const (
	minWork     = 0.01  // ms
	maxWork     = 3.6e6 // ms
	minMemoryMB = 0.01
	maxMemoryMB = 1e6
)

func plausibleWork(ms float64) bool   { return ms >= minWork && ms <= maxWork }
func plausibleMemory(mb float64) bool { return mb >= minMemoryMB && mb <= maxMemoryMB }

// NoClass is the class index of an execution whose class is not decided.
const NoClass = -1

// Class is a class of statements, which is chosen by their expected work.
type Class struct {
	Name          string
	MaxWorkMillis float64 // limit of the expected work in ms; 0: no limit
}

// Config configures a Model.
type Config struct {
	// Classes are in ascending order of their limits; the last has no limit. If there are none, the
	// model decides no classes.
	Classes []Class
	// Hysteresis is the factor by which an estimate must pass the limit between two
	// classes before a bucket changes its class. A factor of 1 means no hysteresis; a lower
	// value is replaced by DefaultHysteresis.
	Hysteresis float64
	// These switch off parts of the model independently of each other. Experiments use them to
	// measure the contribution of each part.
	NoParameters bool // no profiles, similar values and frequent values
	NoPrior      bool
	NoForgetting bool // old observations keep their weight
	NoHint       bool
}

// DefaultHysteresis is used if a configuration sets no hysteresis.
const DefaultHysteresis = 1.3

// Model learns from executions and estimates others. It may be used by one goroutine at a time.
type Model struct {
	cfg   Config
	prior *prior
	state
	noErrors Tracker // used in place of a tracker without errors
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

// weighting returns the weighting of the observations that the model learns from.
func (m *Model) weighting() weighting {
	if m.cfg.NoForgetting {
		return equalWeights
	}
	return decayingWeights
}
