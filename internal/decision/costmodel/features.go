package costmodel

import (
	"math"

	"flaxrelay/internal/sqltext"
)

// Positions in a vector that are set apart from the list of features.
const (
	largeListFeature  = 22
	largeSpanFeature  = 23
	largeLimitFeature = 24
	classFeatures     = 25 // one for each of the first featureClasses classes
	featureClasses    = 4
)

// dimensions is the number of features of the prior.
const dimensions = classFeatures + featureClasses

// vector is the feature vector of one execution.
type vector [dimensions]float64

// newVector computes the features of a statement and its values. class is the index of the
// class where it is known, else NoClass. The order is part of the stored state's layout.
func newVector(f *sqltext.Features, p *sqltext.Profile, class int) (x vector) {
	const maxJoins = 6
	x = vector{
		1, // the intercept
		math.Log2(1 + float64(f.Tables)),
		float64(min(f.Joins, maxJoins)),
		math.Log2(1 + float64(f.Aggregates)),
		indicator(f.Windows > 0),
		indicator(f.Groups > 0),
		indicator(f.Sorts > 0),
		indicator(f.Distincts > 0),
		math.Log2(1 + float64(max(f.Selects-1, 0))),
		indicator(f.Verb == sqltext.VerbInsert),
		indicator(f.Verb != sqltext.VerbInsert && f.Verb != sqltext.VerbSelect),
		indicator(f.Where),
		indicator(f.Limited),
		math.Log2(1+float64(p.Alternatives)) / 4,
		math.Log2(1+p.Span) / 4,
		indicator(p.HalfOpen),
		indicator(p.Wildcard == sqltext.InnerWildcard),
		indicator(p.Wildcard == sqltext.LeadingWildcard),
		math.Log2(1+p.RowLimit) / 8,
		indicator(p.DisabledRestrictions > 0),
		indicator(p.Unrestricted),
		math.Log2(1+float64(p.Rows)) / 4,
	}
	// Beyond some size each doubling counts for more: short lists are found by an index,
	// long ones are not.
	x[largeListFeature] = math.Max(0, math.Log2(1+float64(p.Alternatives))-4) / 2
	x[largeSpanFeature] = math.Max(0, math.Log2(1+p.Span)-4) / 2
	x[largeLimitFeature] = math.Max(0, math.Log2(1+p.RowLimit)-8) / 4
	if class >= 0 && class < featureClasses {
		x[classFeatures+class] = 1
	}
	return x
}

func indicator(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
