package costmodel

import (
	"fmt"
	"math"
	"strings"
)

// Explain explains in words what an estimate rests on.
func (e Estimate) Explain() string {
	if !e.Known {
		return "nothing is known: no record, no hint, and the prior has seen too little"
	}
	var parts []string
	for _, part := range []struct {
		name string
		Component
	}{
		{"record of the shape", e.Record},
		{"values like these", e.Similar},
		{"prior over features", e.Prior},
		{"hint as it has been right", e.Hint},
	} {
		if part.Samples > 0 {
			parts = append(parts, fmt.Sprintf("%s %.4g ms, within a factor of %.2g, from %.0f values: %.0f %%",
				part.name, math.Exp2(part.Log2Cost), math.Exp2(part.Deviation), part.Samples, 100*part.Weight))
		}
	}
	if e.FrequentValue.Samples > 0 {
		parts = append(parts, fmt.Sprintf("its value is asked for often and costs %.2g times the usual", math.Exp2(e.FrequentValue.Log2Cost)))
	}
	return strings.Join(parts, "; ")
}
