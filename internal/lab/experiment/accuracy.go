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

// accuracy compares classes and estimates with the true classes and costs. It is not safe for concurrent
// use.
type accuracy struct {
	counts Result // without shares and errors, which the method result computes

	right       float64 // number of statements whose class is right
	hardRight   float64 // number of hard cases whose class is right
	rightWeight float64 // priority weight of the statements whose class is right
	weight      float64 // priority weight of all statements
	hinted      float64 // number of statements with a hint, not counting writes
	hintRight   float64 // number of these statements whose class would be right if only the hint determined it

	estimateErrors  []float64
	hintErrors      []float64
	classMeanErrors []float64
	classMeans      map[string]*runningMean // mean true work of the records so far, by class
}

// runningMean is the mean of the values so far.
type runningMean struct {
	sum   float64
	count float64
}

func (m *runningMean) mean() float64 { return m.sum / m.count }

func newAccuracy() *accuracy {
	return &accuracy{classMeans: map[string]*runningMean{}}
}

// add compares the effect, the class and the estimate that the classifier determined for a statement with the
// true class and cost of the statement.
func (a *accuracy) add(record *traffic.Record, effect sqltext.Effect, class string, execution *stmtstats.Execution) {
	isRight := class == record.Class
	a.counts.Evaluated++
	a.weight += record.Weight
	if isRight {
		a.right++
		a.rightWeight += record.Weight
	}
	if record.HardCase != "" {
		a.counts.HardEvaluated++
		if isRight {
			a.hardRight++
		}
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
	a.addErrors(record, execution)
}

// addErrors adds the errors of the estimate, of the hint and of the mean of the class.
func (a *accuracy) addErrors(record *traffic.Record, execution *stmtstats.Execution) {
	if execution.Estimate.Known {
		a.estimateErrors = append(a.estimateErrors, logError(execution.Estimate.WorkMillis, record.WorkMS))
	}
	if record.HintWorkMS > 0 {
		a.hintErrors = append(a.hintErrors, logError(record.HintWorkMS, record.WorkMS))
		a.hinted++
		// The class of a load is determined by a rule and not by the cost.
		if record.Class == workload.ClassLoad || record.Class == classOfHint(record.HintWorkMS) {
			a.hintRight++
		}
	}
	if classMean := a.classMeans[record.Class]; classMean != nil {
		a.classMeanErrors = append(a.classMeanErrors, logError(classMean.mean(), record.WorkMS))
	}
}

// learn adds the true work of a statement to the mean of its class.
func (a *accuracy) learn(record *traffic.Record) {
	classMean := a.classMeans[record.Class]
	if classMean == nil {
		classMean = &runningMean{}
		a.classMeans[record.Class] = classMean
	}
	classMean.sum += record.WorkMS
	classMean.count++
}

// result returns the counts, the shares and the errors. It does not set the fields that describe the cache.
func (a *accuracy) result() Result {
	result := a.counts
	result.RightByCount = a.right / float64(result.Evaluated)
	result.RightByWeight = a.rightWeight / a.weight
	result.RightHard = a.hardRight / float64(max(result.HardEvaluated, 1))
	result.RightByHint = a.hintRight / max(a.hinted, 1)
	result.EstimateError = quantiles(a.estimateErrors)
	result.HintError = quantiles(a.hintErrors)
	result.ClassMeanError = quantiles(a.classMeanErrors)
	return result
}

// classOfHint returns the class that a read-only statement has if only the hint determines it.
func classOfHint(workMS float64) string {
	if workMS > workload.MinReportMS {
		return workload.ClassReport
	}
	return workload.ClassLookup
}

// logError returns the error of an estimate of the work, as ErrorQuantiles defines it.
func logError(estimate, trueWork float64) float64 { return math.Abs(math.Log2(estimate / trueWork)) }

// quantiles sorts the errors and returns their quantiles.
func quantiles(errors []float64) ErrorQuantiles {
	const (
		median = 0.5
		p90    = 0.9
	)
	if len(errors) == 0 {
		return ErrorQuantiles{Median: math.NaN(), P90: math.NaN()}
	}
	slices.Sort(errors)
	return ErrorQuantiles{
		Median: stat.Quantile(median, stat.Empirical, errors, nil),
		P90:    stat.Quantile(p90, stat.Empirical, errors, nil),
	}
}
