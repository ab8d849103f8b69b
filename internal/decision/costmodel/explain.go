package costmodel

import (
	"fmt"
	"math"
	"strings"
)

// Explain describes the components of an estimate in words.
func (e Estimate) Explain() string {
	if !e.Known {
		return "nothing is known: no record, no hint, and the prior has seen too little"
	}
	const percent = 100
	var parts []string
	for _, component := range []struct {
		name string
		Component
	}{
		{"record of the shape", e.Record},
		{"values like these", e.Similar},
		{"prior over features", e.Prior},
		{"hint as it has been right", e.Hint},
	} {
		if component.Samples > 0 {
			parts = append(parts, fmt.Sprintf("%s %.4g ms, within a factor of %.2g, from %.0f values: %.0f %%",
				component.name, math.Exp2(component.Log2Cost), math.Exp2(component.Deviation),
				component.Samples, percent*component.Weight))
		}
	}
	if e.FrequentValue.Samples > 0 {
		parts = append(parts, fmt.Sprintf("its value is asked for often and costs %.2g times the usual",
			math.Exp2(e.FrequentValue.Log2Cost)))
	}
	return strings.Join(parts, "; ")
}
