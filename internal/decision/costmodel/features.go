package costmodel

import (
	"math"

	"flaxrelay/internal/sqltext"
)

// Indexes of the features that newVector sets after the vector literal.
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

// newVector computes the features of a statement and its values. class is the query's KnownClass. The
// order of the features is part of the stored state's layout.
func newVector(features *sqltext.Features, profile *sqltext.Profile, class int) vector {
	const (
		maxJoins = 6
		// Logarithms are scaled so that usual values are of the order of 1.
		listScale  = 4
		spanScale  = 4
		limitScale = 8
		rowsScale  = 4
		// Values above these base-2 logarithms are large.
		largeList       = 4
		largeListScale  = 2
		largeSpan       = 4
		largeSpanScale  = 2
		largeLimit      = 8
		largeLimitScale = 4
	)
	values := vector{
		1, // the intercept
		math.Log2(1 + float64(features.Tables)),
		float64(min(features.Joins, maxJoins)),
		math.Log2(1 + float64(features.Aggregates)),
		indicator(features.Windows > 0),
		indicator(features.Groups > 0),
		indicator(features.Sorts > 0),
		indicator(features.Distincts > 0),
		math.Log2(1 + float64(max(features.Selects-1, 0))),
		indicator(features.Verb == sqltext.VerbInsert),
		indicator(features.Verb != sqltext.VerbInsert && features.Verb != sqltext.VerbSelect),
		indicator(features.Where),
		indicator(features.Limited),
		math.Log2(1+float64(profile.Alternatives)) / listScale,
		math.Log2(1+profile.Span) / spanScale,
		indicator(profile.HalfOpen),
		indicator(profile.Wildcard == sqltext.InnerWildcard),
		indicator(profile.Wildcard == sqltext.LeadingWildcard),
		math.Log2(1+profile.RowLimit) / limitScale,
		indicator(profile.DisabledRestrictions > 0),
		indicator(profile.Unrestricted),
		math.Log2(1+float64(profile.Rows)) / rowsScale,
	}
	// Above a certain size, each doubling raises the cost by more, because an index helps only with short lists.
	values[largeListFeature] = math.Max(0, math.Log2(1+float64(profile.Alternatives))-largeList) / largeListScale
	values[largeSpanFeature] = math.Max(0, math.Log2(1+profile.Span)-largeSpan) / largeSpanScale
	values[largeLimitFeature] = math.Max(0, math.Log2(1+profile.RowLimit)-largeLimit) / largeLimitScale
	if class >= 0 && class < featureClasses {
		values[classFeatures+class] = 1
	}
	return values
}

// indicator returns 1 if the property holds, else 0.
func indicator(holds bool) float64 {
	if holds {
		return 1
	}
	return 0
}
