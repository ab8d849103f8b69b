package experiment

import (
	"testing"

	"flaxrelay/internal/lab/workload"
)

// On traffic whose true classes are known, the classifier reaches the required accuracy. Without parameters,
// the share of hard cases whose class is right is lower by 0.5 or more. Without the prior or forgetting, the
// p90 of the errors of the estimates is not lower. The variant without hints is only checked for writes,
// because its other results are about the same as those of the complete classifier on this traffic.
func TestEvaluate_AccuracyComesFromParametersPriorAndForgetting(t *testing.T) {
	records := GenerateRecords(workload.Defaults(1), 12000)
	results := map[string]Result{}
	for _, variant := range Variants() {
		result, err := Evaluate(records, variant, EvaluateOptions{TrainShare: 0.5, CacheBytes: 2 << 20})
		if err != nil {
			t.Fatal(err)
		}
		if result.WritesSeen == 0 || result.WritesTakenAsReads > 0 {
			t.Errorf("%s: %d of %d writes taken as reads", variant.Name, result.WritesTakenAsReads, result.WritesSeen)
		}
		results[variant.Name] = result
	}
	complete := results[completeVariant]
	if complete.RightByCount < 0.97 || complete.RightByWeight < 0.97 || complete.RightHard < 0.95 ||
		complete.HardEvaluated < 50 {
		t.Errorf("classes right: %.3f by count, %.3f by priority weight, %.3f of %d hard cases",
			complete.RightByCount, complete.RightByWeight, complete.RightHard, complete.HardEvaluated)
	}
	estimateError := complete.EstimateError
	hintError := complete.HintError
	if estimateError.Median > hintError.Median/2 || estimateError.P90 > hintError.P90/2 ||
		estimateError.Median > complete.ClassMeanError.Median {
		t.Errorf("errors of the estimates %+.2f, of the hints %+.2f, of the means %+.2f",
			estimateError, hintError, complete.ClassMeanError)
	}
	if r := results["no parameters"]; r.RightHard > complete.RightHard-0.5 {
		t.Errorf("hard cases without parameters: %.2f", r.RightHard)
	}
	for _, name := range []string{"no prior", "no forgetting"} {
		if r := results[name]; r.EstimateError.P90 < estimateError.P90 {
			t.Errorf("%s: p90 of the error %.3f, complete %.3f", name, r.EstimateError.P90, estimateError.P90)
		}
	}
}
