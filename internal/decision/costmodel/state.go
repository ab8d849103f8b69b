package costmodel

import (
	"errors"
	"fmt"
	"math"
	"reflect"
)

// Layout is the version of what State and ShapeRecord mean. It changes whenever a field
// changes its meaning; a state of another layout can't be restored.
const Layout = 1

// State is what a model has learned, in a form that can be stored.
type State struct {
	Prior  prior `cbor:"Prior"`
	Common state `cbor:"Common"`
}

// state is what a model has learned beside its prior.
type state struct {
	ByClass        [knownClasses]classStatistics     `cbor:"All"`   // for shapes without a record
	FrequentValues spaceSaving                       `cbor:"Heavy"` // values that are requested often
	SimilarValues  spaceSaving                       `cbor:"Like"`
	NewValues      [atypicalityLevels]newValueErrors `cbor:"Fresh"` // by how atypical the execution is
}

// classStatistics is what is known of all executions of one class.
type classStatistics struct {
	HintError       Tracker `cbor:"Hint"`
	MemoryHintError Tracker `cbor:"HintMB"`
	Memory          Tracker `cbor:"Memory"`
}

// knownClasses is how many classes have statistics of their own; the last is shared by all
// further classes and for executions without one.
const knownClasses = 5

func (m *Model) classStatistics(class int) *classStatistics {
	if class < 0 || class >= knownClasses-1 {
		class = knownClasses - 1
	}
	return &m.ByClass[class]
}

// State returns a copy of what the model has learned.
func (m *Model) State() *State { return &State{Prior: *m.prior, Common: m.state} }

// ErrState means that a stored state holds a figure that no model can have learned.
var ErrState = errors.New("a state that can't be")

// Restore returns a model that continues from a state. A state that holds a figure that is
// no finite number is rejected: it would make every estimate invalid.
func Restore(cfg Config, s *State) (*Model, error) {
	if err := checkFinite(reflect.ValueOf(s).Elem(), "state"); err != nil {
		return nil, err
	}
	m := New(cfg)
	restored := s.Prior
	m.prior, m.state = &restored, s.Common
	return m, nil
}

// Check returns an error that wraps ErrState where the record holds an invalid figure.
func (r *ShapeRecord) Check() error { return checkFinite(reflect.ValueOf(r).Elem(), "entry") }

// checkFinite checks all floating-point numbers within a value. path names the value in
// errors, by the field names of the stored form.
func checkFinite(v reflect.Value, path string) error {
	const largest = 1e12 // above any logarithm, weight or covariance that can be learned
	switch v.Kind() {
	case reflect.Float32, reflect.Float64:
		if x := v.Float(); math.IsNaN(x) || math.Abs(x) > largest {
			return fmt.Errorf("%w: %s is %g", ErrState, path, x)
		}
	case reflect.Struct:
		for i := range v.NumField() {
			if err := checkFinite(v.Field(i), path+"."+v.Type().Field(i).Tag.Get("cbor")); err != nil {
				return err
			}
		}
	case reflect.Array:
		for i := range v.Len() {
			if err := checkFinite(v.Index(i), fmt.Sprintf("%s[%d]", path, i)); err != nil {
				return err
			}
		}
	}
	return nil
}
