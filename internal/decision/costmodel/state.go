package costmodel

import (
	"errors"
	"fmt"
	"math"
	"reflect"
)

// Layout is the version of State and ShapeRecord. It must be increased when a field changes its
// meaning. A state of another layout can't be restored. The fields can be renamed, because the stored form
// uses the names in their tags, which must not change.
const Layout = 1

// State is the state of a model in a form that can be stored.
type State struct {
	Prior  prior `cbor:"Prior"`
	Common state `cbor:"Common"`
}

// state is the state of a model except for its prior.
type state struct {
	ByClass        [knownClasses]classStatistics     `cbor:"All"`   // used for shapes with too few observations
	FrequentValues spaceSaving                       `cbor:"Heavy"` // by Profile.Key
	SimilarValues  spaceSaving                       `cbor:"Like"`  // by similarKey
	NewValues      [atypicalityLevels]newValueErrors `cbor:"Fresh"` // by atypicalityLevel
}

// classStatistics holds the statistics of all executions of one class.
type classStatistics struct {
	HintError       Tracker `cbor:"Hint"`
	MemoryHintError Tracker `cbor:"HintMB"`
	Memory          Tracker `cbor:"Memory"`
}

// knownClasses is the number of classStatistics. The last of them is shared by all further classes and
// by executions without a class.
const knownClasses = 5

func (m *Model) classStatistics(class int) *classStatistics {
	if class < 0 || class >= knownClasses-1 {
		class = knownClasses - 1
	}
	return &m.ByClass[class]
}

// State returns a copy of the model's state.
func (m *Model) State() *State { return &State{Prior: *m.prior, Common: m.state} }

// ErrState means that a stored state contains a number that no model can have learned.
var ErrState = errors.New("invalid state")

// Restore returns a model that continues from a state. It returns an error that wraps ErrState if the state
// contains a number that is not finite, because that would make every estimate invalid.
func Restore(cfg Config, stored *State) (*Model, error) {
	if err := checkFinite(reflect.ValueOf(stored).Elem(), "state"); err != nil {
		return nil, err
	}
	model := New(cfg)
	restoredPrior := stored.Prior
	model.prior = &restoredPrior
	model.state = stored.Common
	return model, nil
}

// Check returns an error that wraps ErrState if the record contains a number that is not finite.
func (r *ShapeRecord) Check() error { return checkFinite(reflect.ValueOf(r).Elem(), "record") }

// checkFinite returns an error if a floating-point number within a value is not finite or is larger than
// any that can be learned. path names the value in errors, by the field names of the stored form.
func checkFinite(value reflect.Value, path string) error {
	const maxMagnitude = 1e12 // above any logarithm, weight or covariance that can be learned
	switch value.Kind() {
	case reflect.Float32, reflect.Float64:
		if number := value.Float(); math.IsNaN(number) || math.Abs(number) > maxMagnitude {
			return fmt.Errorf("%w: %s is %g", ErrState, path, number)
		}
	case reflect.Struct:
		for i := range value.NumField() {
			name := value.Type().Field(i).Tag.Get("cbor")
			if err := checkFinite(value.Field(i), path+"."+name); err != nil {
				return err
			}
		}
	case reflect.Array:
		for i := range value.Len() {
			if err := checkFinite(value.Index(i), fmt.Sprintf("%s[%d]", path, i)); err != nil {
				return err
			}
		}
	default: // integers have no invalid values
	}
	return nil
}
