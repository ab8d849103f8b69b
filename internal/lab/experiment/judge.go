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

// judge compares classes and estimates with the true classes and costs.
type judge struct {
	counts         Result // whose counts are filled in while records are judged
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

// runningMean is the mean of the values added so far.
type runningMean struct{ sum, count float64 }

func (m *runningMean) mean() float64 { return m.sum / m.count }

func newJudge() *judge {
	return &judge{counts: Result{HardCases: map[string][2]int{}}, means: map[string]*runningMean{}}
}

// judge counts one statement that was given the class.
func (j *judge) judge(record *traffic.Record, effect sqltext.Effect, class string, execution *stmtstats.Execution) {
	isRight := class == record.Class
	j.counts.Judged++
	j.weight += record.Weight
	if isRight {
		j.right++
		j.rightWeight += record.Weight
	}
	if record.HardCase != "" {
		j.countHardCase(record.HardCase, isRight)
	}
	if record.Class == workload.ClassWrite {
		j.counts.WritesSeen++
		if effect == sqltext.EffectReads {
			j.counts.WritesTakenAsReads++
		}
		return
	}
	if class == workload.ClassWrite {
		j.counts.ReadsTakenAsWrites++
	}
	j.countErrors(record, execution)
}

func (j *judge) countHardCase(hardCase string, isRight bool) {
	j.counts.HardJudged++
	rightAndAll := j.counts.HardCases[hardCase]
	rightAndAll[1]++
	if isRight {
		j.hardRight++
		rightAndAll[0]++
	}
	j.counts.HardCases[hardCase] = rightAndAll
}

// countErrors notes the errors of the estimate, of the hint and of the mean of the class.
func (j *judge) countErrors(record *traffic.Record, execution *stmtstats.Execution) {
	if execution.Estimate.Known {
		j.estimateErrors = append(j.estimateErrors, logError(execution.Estimate.WorkMillis, record.WorkMS))
	}
	if record.HintWorkMS > 0 {
		j.hintErrors = append(j.hintErrors, logError(record.HintWorkMS, record.WorkMS))
		j.hinted++
		if record.Class == workload.ClassLoad || record.Class == classOfHint(record.HintWorkMS) {
			j.hintRight++
		}
	}
	if mean := j.means[record.Class]; mean != nil {
		j.meanErrors = append(j.meanErrors, logError(mean.mean(), record.WorkMS))
	}
}

// learn adds the true work to the mean of the class.
func (j *judge) learn(record *traffic.Record) {
	mean := j.means[record.Class]
	if mean == nil {
		mean = &runningMean{}
		j.means[record.Class] = mean
	}
	mean.sum += record.WorkMS
	mean.count++
}

// result is the result without the figures of the cache.
func (j *judge) result() Result {
	result := j.counts
	result.ByCount = j.right / float64(result.Judged)
	result.ByWeight = j.rightWeight / j.weight
	result.ByHardCase = j.hardRight / float64(max(result.HardJudged, 1))
	result.HintClass = j.hintRight / max(j.hinted, 1)
	result.MedianError, result.P90Error = quantiles(j.estimateErrors)
	result.HintMedianError, result.HintP90Error = quantiles(j.hintErrors)
	result.MeanMedianError, result.MeanP90Error = quantiles(j.meanErrors)
	return result
}

// classOfHint is the class of a read-only statement by the hint alone.
func classOfHint(workMS float64) string {
	if workMS > workload.ReportFromMS {
		return workload.ClassReport
	}
	return workload.ClassLookup
}

// logError is |log2(estimate/truth)|.
func logError(estimate, truth float64) float64 { return math.Abs(math.Log2(estimate / truth)) }

// quantiles sorts the values.
func quantiles(values []float64) (median, p90 float64) {
	if len(values) == 0 {
		return math.NaN(), math.NaN()
	}
	slices.Sort(values)
	return stat.Quantile(0.5, stat.Empirical, values, nil), stat.Quantile(0.9, stat.Empirical, values, nil)
}
