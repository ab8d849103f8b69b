package costmodel

import "math"

// Tracker estimates the median of a quantity and its mean absolute deviation, both as base-2
// logarithms. It is robust: one observation moves the median by a limited step. The update is a
// Robbins-Monro step on a clipped error (Huber, "Robust Estimation of a Location Parameter", 1964).
//
// With decayingWeights, the median adapts to a changed cost within about ten observations: a run of
// errors with the same sign raises the step, as in a CUSUM chart (Page, "Continuous Inspection
// Schemes", 1954).
//
// A Tracker takes 16 bytes.
type Tracker struct {
	Median    float32 `cbor:"Mid"`
	Deviation float32 `cbor:"Dev"` // mean absolute deviation from the median
	Samples   float32 `cbor:"N"`   // number of observations, at most maxTrackedSamples
	Run       int8    `cbor:"Run"` // length of the current run of errors with the same sign, times that sign
}

const (
	maxTrackedSamples = 1000

	minGain          = 0.06 // an effective window of about 16 observations
	minDeviationGain = 0.03

	// A run of changeRun errors with the same sign counts as a change of the cost. The median then moves
	// by larger steps.
	changeRun  = 5
	changeGain = 0.35
	changeClip = 4
	maxRun     = 100

	// A run of up to steadyRun errors does not indicate a change.
	steadyRun = 1

	minDeviation     = 0.15 // lower limit of the deviation
	initialDeviation = 1.5  // after the first observation

	// Errors are clipped to clipDeviations times the deviation or, for the first earlySamples
	// observations, to earlyClip.
	clipDeviations = 3
	earlySamples   = 4
	earlyClip      = 6
)

// weighting is the weight of old observations relative to new ones.
type weighting uint8

const (
	// decayingWeights: old observations lose their weight, so that an estimate follows a changed cost.
	decayingWeights weighting = iota
	// equalWeights: all observations have the same weight.
	equalWeights
)

// add updates the tracker with one observation, a base-2 logarithm.
func (t *Tracker) add(x float64, weights weighting) {
	if t.Samples == 0 {
		t.Median = float32(x)
		t.Deviation = initialDeviation
		t.Samples = 1
		return
	}
	residual := x - float64(t.Median)
	deviation := max(float64(t.Deviation), minDeviation)
	gain := 1 / (float64(t.Samples) + 1)
	clip := clipDeviations * deviation
	if t.Samples < earlySamples {
		clip = earlyClip
	}
	if weights == decayingWeights {
		gain = max(gain, minGain)
		t.extendRun(residual, deviation)
		if t.Run >= changeRun || t.Run <= -changeRun {
			gain = changeGain
			clip = changeClip
			t.Run = max(min(t.Run, maxRun), -maxRun)
		}
	}
	step := max(min(residual, clip), -clip)
	t.Median += float32(gain * step)
	t.Deviation += float32(max(gain, minDeviationGain) * (math.Abs(step) - deviation))
	t.Samples = min(t.Samples+1, maxTrackedSamples)
}

// extendRun adds an error to the current run. An error below the deviation ends the run.
func (t *Tracker) extendRun(residual, deviation float64) {
	switch {
	case math.Abs(residual) < deviation:
		t.Run = 0
	case residual > 0:
		t.Run = max(t.Run, 0) + 1
	default:
		t.Run = min(t.Run, 0) - 1
	}
}

// steady reports whether the latest observations were as expected.
func (t *Tracker) steady() bool { return t.Run >= -steadyRun && t.Run <= steadyRun }

// variance returns the expected squared error of the median as a prediction of one further observation.
func (t *Tracker) variance() float64 {
	const (
		perMeanDeviation = 1.25 // standard deviation over mean absolute deviation of a normal distribution
		medianVariance   = 4    // variance of the median after one observation, over the variance of an observation
	)
	deviation := perMeanDeviation * max(float64(t.Deviation), minDeviation)
	return deviation * deviation * (1 + medianVariance/float64(t.Samples))
}
