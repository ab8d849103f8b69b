// Package experiment evaluates the classifier of statements. It runs the classifier on recorded traffic whose
// true classes and costs are known. It also measures how the classifier's cache handles many shapes that never
// recur, and the CPU time that the classifier adds to flaxrelay.
package experiment

import (
	"flaxrelay/internal/decision/costmodel"
	"flaxrelay/internal/lab/traffic"
	"flaxrelay/internal/lab/workload"
	"flaxrelay/internal/sqltext"
	"flaxrelay/internal/stmtstats"
)

// Variant is a named configuration of the classifier.
type Variant struct {
	Name   string
	Config costmodel.Config
}

// completeVariant is the name of the variant with all parts of the classifier.
const completeVariant = "complete"

// classes returns the classes into which statements are classified.
func classes() []costmodel.Class {
	return []costmodel.Class{
		{Name: workload.ClassLookup, MaxWorkMillis: workload.MinReportMS},
		{Name: workload.ClassReport},
	}
}

// Variants returns the variants to evaluate: the complete classifier, and one variant for each part that can be
// disabled.
func Variants() []Variant {
	with := func(name string, change func(*costmodel.Config)) Variant {
		config := costmodel.Config{Classes: classes()}
		change(&config)
		return Variant{name, config}
	}
	return []Variant{
		with(completeVariant, func(*costmodel.Config) {}),
		with("no parameters", func(c *costmodel.Config) { c.NoParameters = true }),
		with("no prior", func(c *costmodel.Config) { c.NoPrior = true }),
		with("no forgetting", func(c *costmodel.Config) { c.NoForgetting = true }),
		with("no hint", func(c *costmodel.Config) { c.NoHint = true }),
	}
}

// Result is the result of one variant for the evaluated part of the records.
type Result struct {
	Evaluated     int // number of statements
	HardEvaluated int // number of hard cases among the evaluated statements

	// Shares of the statements whose class is right.
	RightByCount  float64
	RightByWeight float64 // by priority weight
	RightHard     float64 // of the hard cases alone, by count
	RightByHint   float64 // of the statements with a hint, if the hint alone determined the class

	WritesSeen         int
	WritesTakenAsReads int // writes classified as reads
	ReadsTakenAsWrites int // reads classified as writes

	EstimateError  ErrorQuantiles
	HintError      ErrorQuantiles // of the statements with a hint
	ClassMeanError ErrorQuantiles // with the mean work of the true class as the estimate

	Shapes  int     // number of shapes in the cache at the end
	Bytes   int     // size of the cache at the end
	HitRate float64 // of the cache, for all records
}

// ErrorQuantiles are quantiles of the errors of estimates of the work. An error is |log2(estimate/true work)|.
// If there are no estimates, the quantiles are NaN.
type ErrorQuantiles struct {
	Median float64
	P90    float64
}

// GenerateRecords generates the records of a workload in memory.
func GenerateRecords(options workload.Options, number int) []traffic.Record {
	generator := workload.New(options, number)
	records := make([]traffic.Record, number)
	for i := range records {
		records[i] = traffic.RecordOf(generator.Next())
	}
	return records
}

// EvaluateOptions configure Evaluate.
type EvaluateOptions struct {
	TrainShare float64 // share of the records, at the start, that are learned but not evaluated
	CacheBytes int     // limit of the cache
}

// Evaluate classifies the records in their order with a variant. For each record, it estimates the execution
// and then learns the cost, like a front end.
func Evaluate(records []traffic.Record, v Variant, opts EvaluateOptions) (Result, error) {
	store, err := stmtstats.New(stmtstats.Options{CostModel: v.Config, MaxBytes: opts.CacheBytes})
	if err != nil {
		return Result{}, err
	}
	accuracy := newAccuracy()
	evaluatedFrom := int(opts.TrainShare * float64(len(records)))
	for i := range records {
		record := &records[i]
		effect := sqltext.EffectOf(record.Statement, nil).Effect
		statement := store.Parse(record.Statement)
		binds := sqltext.Binds{Values: record.Values, Formats: record.Formats, TypeOIDs: record.Types}
		hint := stmtstats.Hint{WorkMillis: record.HintWorkMS, MemoryMB: record.HintMB}
		execution := store.Estimate(statement, &binds, costmodel.NoClass, hint)
		if i >= evaluatedFrom {
			accuracy.add(record, effect, classify(record, effect, execution, v.Config.Classes), execution)
		}
		accuracy.learn(record)
		store.Learn(execution, costmodel.Observation{WorkMillis: record.WorkMS, MemoryMB: record.MemoryMB})
	}
	result := accuracy.result()
	result.Shapes = store.Len()
	result.Bytes = store.Bytes()
	result.HitRate = float64(store.Stats.Hits) / float64(store.Stats.Hits+store.Stats.Misses)
	return result, nil
}

// classify returns the class by which a front end would admit the statement.
func classify(
	record *traffic.Record, effect sqltext.Effect, execution *stmtstats.Execution, classes []costmodel.Class,
) string {
	switch {
	case record.Class == workload.ClassLoad && record.Key > 0:
		return workload.ClassLoad // in a front end, a rule for INSERT INTO sets the class and the key
	case effect != sqltext.EffectReads:
		return workload.ClassWrite
	case execution.Estimate.Class != costmodel.NoClass:
		return classes[execution.Estimate.Class].Name
	}
	return workload.ClassLookup // the default class, if there is no estimate yet
}
