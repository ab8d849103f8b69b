package policy

// ewma returns an exponentially weighted moving average after one more sample. A
// sample's weight is 1/window. Callers that let the window grow from a small one
// to its final size learn faster from the first samples.
func ewma(mean, sample, window float64) float64 {
	return mean + (sample-mean)/window
}

// ewmaWeighted is like ewma, for a sample of the given weight. The two round
// differently: 1/window is not always a float64.
func ewmaWeighted(mean, sample, weight float64) float64 {
	return mean + (sample-mean)*weight
}

// ewmaSeeded is like ewma, but a mean of zero starts at the sample.
func ewmaSeeded(mean, sample, window float64) float64 {
	if mean == 0 {
		mean = sample
	}
	return ewma(mean, sample, window)
}
