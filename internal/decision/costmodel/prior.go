package costmodel

// prior predicts the cost of new shapes from their features, by recursive least squares
// with forgetting (Haykin, "Adaptive Filter Theory", chapter on RLS). Errors are clipped,
// so that one observation has little influence.
type prior struct {
	Weights    vector                          `cbor:"W"`
	Covariance [dimensions][dimensions]float64 `cbor:"P"`
	Samples    int                             `cbor:"N"`
	Errors     Tracker                         `cbor:"Track"` // errors of the prior's predictions
}

const (
	priorForgetting = 0.9995 // the forgetting factor for one observation
	priorRidge      = 0.05   // regularization of the weights
	priorClip       = 3      // limit of an error, as a base-2 logarithm: a factor of eight
	priorMinSamples = 30     // minimum number of observations for predictions
	// priorMaxTrace limits the covariance's trace. Above it the prior stops forgetting. Otherwise the
	// covariance would grow without limit in directions that no longer occur in the traffic.
	priorMaxTrace = 1e4
)

func newPrior() *prior {
	p := &prior{}
	for i := range dimensions {
		p.Covariance[i][i] = 1 / priorRidge
	}
	return p
}

// ready reports whether the prior has learned enough for predictions.
func (p *prior) ready() bool { return p.Samples >= priorMinSamples }

// predict returns the expected cost as a base-2 logarithm.
func (p *prior) predict(x *vector) (log2Cost float64) {
	for i := range x {
		log2Cost += p.Weights[i] * x[i]
	}
	return log2Cost
}

// learn updates the prior with one observation.
func (p *prior) learn(x *vector, log2Cost float64, weights weighting) {
	predictionError := log2Cost - p.predict(x)
	if p.Samples > 0 {
		p.Errors.add(predictionError, weights)
	}
	if p.ready() {
		predictionError = max(min(predictionError, priorClip), -priorClip)
	}
	p.Samples++
	forgetting := 1.0
	if weights == decayingWeights {
		forgetting = priorForgetting
	}
	p.update(x, predictionError, forgetting)
}

// update performs one step of the recursive least squares.
func (p *prior) update(x *vector, predictionError, forgetting float64) {
	var product vector // of the covariance and the features
	scale := forgetting
	trace := 0.0
	for i := range dimensions {
		for j := range dimensions {
			product[i] += p.Covariance[i][j] * x[j]
		}
		scale += product[i] * x[i]
		trace += p.Covariance[i][i]
	}
	if trace > priorMaxTrace {
		forgetting = 1
	}
	for i := range dimensions {
		p.Weights[i] += product[i] / scale * predictionError
		for j := range dimensions {
			p.Covariance[i][j] = (p.Covariance[i][j] - product[i]*product[j]/scale) / forgetting
		}
	}
}
