package costmodel

import (
	"errors"
	"math"
	"testing"
)

// A state or a record with a number that is not finite or too large is rejected. The error names the number as
// the stored form does.
func TestCheck_RejectsNumbersThatAreNotFinite(t *testing.T) {
	for _, tt := range []struct {
		name  string
		check func() error
		want  string
	}{
		{
			"weight of the prior",
			func() error {
				state := New(Config{}).State()
				state.Prior.Weights[3] = math.NaN()
				_, err := Restore(Config{}, state)
				return err
			},
			"invalid state: state.Prior.W[3] is NaN",
		},
		{
			"frequent value",
			func() error {
				state := New(Config{}).State()
				state.Common.FrequentValues.Sets[1][2].PriorError.Median = float32(math.Inf(1))
				_, err := Restore(Config{}, state)
				return err
			},
			"invalid state: state.Common.Heavy.Sets[1][2].Prior.Mid is +Inf",
		},
		{
			"bucket of a shape",
			func() error {
				record := ShapeRecord{}
				record.Buckets[4].Work.Deviation = 2e12
				return record.Check()
			},
			"invalid state: record.Buckets[4].Work.Dev is 1.999999991808e+12",
		},
	} {
		t.Run(tt.name, func(t *testing.T) {
			err := tt.check()
			if !errors.Is(err, ErrState) || err.Error() != tt.want {
				t.Errorf("error %v, want %s", err, tt.want)
			}
		})
	}
}
