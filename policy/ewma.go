package policy

// ewma returns an exponentially weighted moving average after one more sample, which has weight 1/window. If
// a caller starts with a small window and lets it grow, the first samples count more.
func ewma(mean, sample, window float64) float64 {
	return mean + (sample-mean)/window
}

// ewmaWeighted is like ewma, but takes the weight of the sample. The two functions round differently, since
// 1/window often has no exact float64.
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
