// Package experiment evaluates the classifier of statements on recorded traffic, whose true classes
// and costs are known, floods its cache with shapes that never recur, and measures what it costs flaxrelay.
package experiment

import (
	decide "flaxrelay/internal/decision/costmodel"
	"flaxrelay/internal/lab/traffic"
	"flaxrelay/internal/lab/workload"
	"flaxrelay/internal/sqltext"
	"flaxrelay/internal/stmtstats"
)

// Variant is a way to run the classifier.
type Variant struct {
	Name   string
	Config decide.Config
}

// classes are those into which statements are classified.
func classes() []decide.Class {
	return []decide.Class{{Name: workload.ClassLookup, MaxWorkMillis: workload.ReportFromMS}, {Name: workload.ClassReport}}
}

// Variants are the whole classifier, and the classifier with each of its parts switched off.
func Variants() []Variant {
	with := func(name string, change func(*decide.Config)) Variant {
		config := decide.Config{Classes: classes()}
		change(&config)
		return Variant{name, config}
	}
	return []Variant{
		with("whole", func(*decide.Config) {}),
		with("no parameters", func(c *decide.Config) { c.NoParameters = true }),
		with("no prior", func(c *decide.Config) { c.NoPrior = true }),
		with("no forgetting", func(c *decide.Config) { c.NoForgetting = true }),
		with("no hint", func(c *decide.Config) { c.NoHint = true }),
	}
}

// Result is the result of one variant on the evaluated part of one file. Errors are |log2(estimate/truth)|
// of the work.
type Result struct {
	Judged                int
	ByCount               float64 // share whose class is right
	ByWeight              float64 // the same, by priority weight
	ByHardCase            float64 // by count, of the hard cases alone
	HardJudged            int
	HardCases             map[string][2]int // right and all, by hard case
	WritesTakenAsReads    int               // writes classified as reads
	WritesSeen            int
	ReadsTakenAsWrites    int     // reads classified as writes
	MedianError, P90Error float64 // of the errors of the estimates
	HintMedianError       float64 // of the errors of the hints, where there are any
	HintP90Error          float64
	MeanMedianError       float64 // of the errors of the mean of the true class
	MeanP90Error          float64
	HintClass             float64 // share whose class the hint alone determines
	Shapes                int
	Bytes                 int
	HitRate               float64 // of the cache, over all of the file
}

// EvaluateOptions says how to evaluate.
type EvaluateOptions struct {
	TrainShare float64 // share of the records that is not judged; learning goes on after it
	CacheBytes int     // limit of the cache
}

// Evaluate plays records through a variant in their order, as a front end does: it estimates,
// then learns what the execution has cost.
func Evaluate(records []traffic.Record, v Variant, opts EvaluateOptions) (Result, error) {
	store, err := stmtstats.New(stmtstats.Options{CostModel: v.Config, MaxBytes: opts.CacheBytes})
	if err != nil {
		return Result{}, err
	}
	judge := newJudge()
	judgedFrom := int(opts.TrainShare * float64(len(records)))
	for i := range records {
		record := &records[i]
		effect := sqltext.EffectOf(record.Statement, nil).Effect
		statement := store.Parse(record.Statement)
		binds := sqltext.Binds{Values: record.Values, Formats: record.Formats, TypeOIDs: record.Types}
		execution := store.Estimate(statement, &binds, classUndecided, stmtstats.Hint{WorkMillis: record.HintWorkMS, MemoryMB: record.HintMB})
		if i >= judgedFrom {
			judge.judge(record, effect, classify(record, effect, execution, v.Config.Classes), execution)
		}
		judge.learn(record)
		store.Learn(execution, decide.Observation{WorkMillis: record.WorkMS, MemoryMB: record.MemoryMB})
	}
	result := judge.result()
	result.Shapes, result.Bytes = store.Len(), store.Bytes()
	result.HitRate = float64(store.Stats.Hits) / float64(store.Stats.Hits+store.Stats.Misses)
	return result, nil
}

// classUndecided means to the classifier that the class is not decided yet.
const classUndecided = -1

// classify is the class by which a front end would admit the statement.
func classify(record *traffic.Record, effect sqltext.Effect, execution *stmtstats.Execution, classes []decide.Class) string {
	switch {
	case record.Class == workload.ClassLoad && record.Key > 0: // the rule for INSERT INTO names the class and the key
		return workload.ClassLoad
	case effect != sqltext.EffectReads:
		return workload.ClassWrite
	case execution.Estimate.Class >= 0:
		return classes[execution.Estimate.Class].Name
	}
	return workload.ClassLookup // nothing is known yet: the default class
}
