package experiment

import (
	"math"
	"slices"

	"flaxrelay/internal/lab/traffic"
	"flaxrelay/internal/lab/workload"
	"flaxrelay/internal/sqltext"
	"flaxrelay/internal/stmtstats"

	"gonum.org/v1/gonum/stat"
)

// accuracy compares classes and estimates with the true classes and costs. It is for one goroutine.
type accuracy struct {
	counts         Result // its counts are filled in with each record, the shares at the end
	right          float64
	hardRight      float64
	weight         float64
	rightWeight    float64
	hinted         float64
	hintRight      float64
	estimateErrors []float64
	hintErrors     []float64
	meanErrors     []float64
	means          map[string]*runningMean // of the true work by class, so far
}

// runningMean is the mean of the values so far.
type runningMean struct {
	sum   float64
	count float64
}

func (m *runningMean) mean() float64 { return m.sum / m.count }

func newAccuracy() *accuracy {
	return &accuracy{counts: Result{HardCases: map[string]HardCaseCounts{}}, means: map[string]*runningMean{}}
}

// add compares one statement with the effect, class and estimate that it was given.
func (a *accuracy) add(record *traffic.Record, effect sqltext.Effect, class string, execution *stmtstats.Execution) {
	isRight := class == record.Class
	a.counts.Evaluated++
	a.weight += record.Weight
	if isRight {
		a.right++
		a.rightWeight += record.Weight
	}
	if record.HardCase != "" {
		a.countHardCase(record.HardCase, isRight)
	}
	if record.Class == workload.ClassWrite {
		a.counts.WritesSeen++
		if effect == sqltext.EffectReads {
			a.counts.WritesTakenAsReads++
		}
		return
	}
	if class == workload.ClassWrite {
		a.counts.ReadsTakenAsWrites++
	}
	a.countErrors(record, execution)
}

func (a *accuracy) countHardCase(hardCase string, isRight bool) {
	a.counts.HardEvaluated++
	counts := a.counts.HardCases[hardCase]
	counts.Evaluated++
	if isRight {
		a.hardRight++
		counts.Right++
	}
	a.counts.HardCases[hardCase] = counts
}

// countErrors adds the errors of the estimate, of the hint and of the mean of the class.
func (a *accuracy) countErrors(record *traffic.Record, execution *stmtstats.Execution) {
	if execution.Estimate.Known {
		a.estimateErrors = append(a.estimateErrors, logError(execution.Estimate.WorkMillis, record.WorkMS))
	}
	if record.HintWorkMS > 0 {
		a.hintErrors = append(a.hintErrors, logError(record.HintWorkMS, record.WorkMS))
		a.hinted++
		if record.Class == workload.ClassLoad || record.Class == classOfHint(record.HintWorkMS) {
			a.hintRight++
		}
	}
	if mean := a.means[record.Class]; mean != nil {
		a.meanErrors = append(a.meanErrors, logError(mean.mean(), record.WorkMS))
	}
}

// learn adds the true work of a statement to the mean of its class.
func (a *accuracy) learn(record *traffic.Record) {
	mean := a.means[record.Class]
	if mean == nil {
		mean = &runningMean{}
		a.means[record.Class] = mean
	}
	mean.sum += record.WorkMS
	mean.count++
}

// result returns the result without the figures of the cache.
func (a *accuracy) result() Result {
	result := a.counts
	result.ByCount = a.right / float64(result.Evaluated)
	result.ByWeight = a.rightWeight / a.weight
	result.ByHardCase = a.hardRight / float64(max(result.HardEvaluated, 1))
	result.HintClass = a.hintRight / max(a.hinted, 1)
	result.MedianError, result.P90Error = quantiles(a.estimateErrors)
	result.HintMedianError, result.HintP90Error = quantiles(a.hintErrors)
	result.MeanMedianError, result.MeanP90Error = quantiles(a.meanErrors)
	return result
}

// classOfHint returns the class of a read-only statement by the hint alone.
func classOfHint(workMS float64) string {
	if workMS > workload.ReportFromMS {
		return workload.ClassReport
	}
	return workload.ClassLookup
}

// logError returns |log2(estimate/truth)|.
func logError(estimate, truth float64) float64 { return math.Abs(math.Log2(estimate / truth)) }

// quantiles sorts the values and returns two of their quantiles, which are NaN without values.
func quantiles(values []float64) (median, p90 float64) {
	const p50, p90Share = 0.5, 0.9
	if len(values) == 0 {
		return math.NaN(), math.NaN()
	}
	slices.Sort(values)
	median = stat.Quantile(p50, stat.Empirical, values, nil)
	p90 = stat.Quantile(p90Share, stat.Empirical, values, nil)
	return median, p90
}
