// Package costmodel predicts what a statement costs, and of which class it is, from the
// costs of earlier executions. It is pure: it uses no clock and no I/O, and the same calls
// give the same results.
//
// An estimate is an ensemble of four components. Each is weighted by the inverse of the
// variance that its errors have shown, which is the best linear combination of independent
// unbiased estimators:
//
//   - the record of the shape, separately for each profile of the values;
//   - similar values: how far executions with such values deviated from the usual cost of
//     their own shapes, over all shapes;
//   - the prior, a regression over features that learns from all shapes, corrected by its
//     errors for this shape;
//   - the client's hint, corrected by its errors for this shape.
//
// Work is measured in milliseconds on one core and memory in megabytes. Both are stored as
// base-2 logarithms, since costs spread over orders of magnitude and errors count by ratio.
// A single reported cost has little influence: see Tracker.
package costmodel

// Bounds of plausible reports. Reports outside these bounds are ignored: an hour of work on one core
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

// Class is a class that statements are sorted into by their expected work.
type Class struct {
	Name          string
	MaxWorkMillis float64 // upper bound of the expected work in ms; 0: unbounded
}

// Config configures a Model.
type Config struct {
	// Classes are ordered from the cheapest on; the last is unbounded. Without any, no
	// classes are decided.
	Classes []Class
	// Hysteresis is the factor by which an estimate must pass the bound between two
	// classes before a bucket changes its class. It is at least 1, which means none.
	Hysteresis float64
	// These switch off parts of the model independently of each other, to measure what each
	// contributes.
	NoParameters bool // no profiles, similar values and frequent values
	NoPrior      bool
	NoForgetting bool // old observations keep their weight
	NoHint       bool
}

// DefaultHysteresis is used where a configuration sets none.
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

// usesHint reports whether the hint of a query takes part in its estimate.
func (m *Model) usesHint(query *Query) bool { return !m.cfg.NoHint && plausibleWork(query.HintWork) }

// forgets reports whether old observations lose their weight.
func (m *Model) forgets() bool { return !m.cfg.NoForgetting }
