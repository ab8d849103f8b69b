package policy

// ewma returns an exponentially weighted moving average after one more sample, which has weight 1/window. A
// caller that lets the window grow from a small one to its final size learns faster from the first samples.
func ewma(mean, sample, window float64) float64 {
	return mean + (sample-mean)/window
}

// ewmaWeighted is like ewma, but takes the weight of the sample. The two round differently, since 1/window
// often has no exact float64.
func ewmaWeighted(mean, sample, weight float64) float64 {
	return mean + (sample-mean)*weight
}

// ewmaSeeded is like ewma, but replaces a mean of zero by the sample.
func ewmaSeeded(mean, sample, window float64) float64 {
	if mean == 0 {
		mean = sample
	}
	return ewma(mean, sample, window)
}
