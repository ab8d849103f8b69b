package main

import (
	"fmt"

	"flaxrelay/internal/lab/experiment"
	"flaxrelay/internal/lab/report"
	"flaxrelay/internal/lab/traffic"
	"flaxrelay/internal/lab/workload"
)

// evaluateCommand evaluates the classifier on recorded traffic.
type evaluateCommand struct {
	Files  []string `arg:"" optional:"" name:"file" help:"Traffic files; by default they are generated from the seeds."`
	Seeds  []uint64 `default:"1,2,3,4,5" help:"Seeds of generated workloads."`
	Number int      `default:"20000" help:"Statements in each generated workload."`
	Train  float64  `default:"0.5" help:"Share of the records that are only learned and not evaluated."`
	Kbytes int      `default:"2048" help:"Cache size limit in KB."`
	Out    string   `placeholder:"FOLDER" help:"Write table, figures and chart to shapes-evaluate.* there."`
}

// recording is traffic with the seed from which the traffic was generated.
type recording struct {
	seed    uint64
	records []traffic.Record
}

// chartedShare is a series of the chart: the share of statements, or of hard cases, whose class is right.
type chartedShare struct {
	series string
	share  func(experiment.Result) float64
}

var chartedShares = []chartedShare{
	{"by count", func(r experiment.Result) float64 { return r.RightByCount }},
	{"by priority weight", func(r experiment.Result) float64 { return r.RightByWeight }},
	{"hard cases", func(r experiment.Result) float64 { return r.RightHard }},
}

// shareDigits is the number of decimal places in printed shares and errors.
const shareDigits = 3

// Run evaluates every variant of the classifier on every recording, and publishes the results.
func (c *evaluateCommand) Run() error {
	recordings, err := c.recordings()
	if err != nil {
		return err
	}
	results := newEvaluation()
	variants := experiment.Variants()
	// The baselines need the results of only one variant, because the results for hints and class means are the
	// same in all variants.
	var firstResults []experiment.Result
	for i, variant := range variants {
		evaluated, err := c.evaluate(variant, recordings, &results.figures)
		if err != nil {
			return err
		}
		if i == 0 {
			firstResults = evaluated
		}
		addVariant(results, variant.Name, evaluated)
	}
	addBaselines(&results.summary, firstResults)
	return results.publish(c.Out)
}

// newEvaluation returns results with headings, but without rows and values.
func newEvaluation() *experimentResults {
	results := &experimentResults{
		name: "shapes-evaluate",
		summary: report.Table{Columns: []string{
			"variant", "class right by count", "by priority weight", "hard cases alone", "writes taken as reads",
			"median error", "p90 error",
		}},
		figures: report.Table{Columns: []string{
			"variant", "seed", "evaluated", "by_count", "by_weight", "hard", "hard_evaluated",
			"writes_taken_as_reads", "writes_seen", "reads_taken_as_writes",
			"median", "p90", "hint_median", "hint_p90", "mean_median", "mean_p90", "hint_class",
			"shapes", "bytes", "hit_rate",
		}},
		chart: report.BarChart{
			Title: "Classes right, median of the seeds", Axis: "share", Values: make([][]float64, len(chartedShares)),
		},
	}
	for _, charted := range chartedShares {
		results.chart.Series = append(results.chart.Series, charted.series)
	}
	return results
}

// recordings reads the traffic files. Without files, it generates traffic from the seeds.
func (c *evaluateCommand) recordings() ([]recording, error) {
	var recordings []recording
	for _, path := range c.Files {
		recorded, err := readRecording(path)
		if err != nil {
			return nil, err
		}
		recordings = append(recordings, recorded)
	}
	if len(c.Files) > 0 {
		return recordings, nil
	}
	for _, seed := range c.Seeds {
		records := experiment.GenerateRecords(workload.Defaults(seed), c.Number)
		recordings = append(recordings, recording{seed: seed, records: records})
	}
	return recordings, nil
}

func readRecording(path string) (recording, error) {
	var records []traffic.Record
	head, err := readRecords(path, func(record *traffic.Record) bool {
		records = append(records, *record)
		return true
	})
	if err != nil {
		return recording{}, err
	}
	return recording{seed: head.Seed, records: records}, nil
}

// evaluate evaluates one variant on every recording. It adds one row to figures for each recording.
func (c *evaluateCommand) evaluate(
	variant experiment.Variant, recordings []recording, figures *report.Table,
) ([]experiment.Result, error) {
	options := experiment.EvaluateOptions{TrainShare: c.Train, CacheBytes: c.Kbytes * bytesPerKB}
	var results []experiment.Result
	for _, recording := range recordings {
		r, err := experiment.Evaluate(recording.records, variant, options)
		if err != nil {
			return nil, err
		}
		results = append(results, r)
		figures.Add(
			variant.Name, recording.seed, r.Evaluated, formatShare(r.RightByCount), formatShare(r.RightByWeight),
			formatShare(r.RightHard), r.HardEvaluated,
			r.WritesTakenAsReads, r.WritesSeen, r.ReadsTakenAsWrites,
			r.EstimateError.Median, r.EstimateError.P90, r.HintError.Median, r.HintError.P90,
			r.ClassMeanError.Median, r.ClassMeanError.P90,
			formatShare(r.RightByHint), r.Shapes, r.Bytes, r.HitRate,
		)
	}
	return results, nil
}

// formatShare formats a share for the table of single measurements, with more decimal places than the summary.
func formatShare(share float64) string { return fmt.Sprintf("%.5f", share) }

// addVariant adds one variant to the summary and the chart.
func addVariant(results *experimentResults, variant string, evaluated []experiment.Result) {
	row := []any{variant}
	results.chart.Groups = append(results.chart.Groups, variant)
	for i, charted := range chartedShares {
		shares := newSample(evaluated, charted.share)
		row = append(row, shares.spread(shareDigits))
		results.chart.Values[i] = append(results.chart.Values[i], shares.median())
	}
	writesTakenAsReads := 0
	writes := 0
	for _, result := range evaluated {
		writesTakenAsReads += result.WritesTakenAsReads
		writes += result.WritesSeen
	}
	row = append(row,
		fmt.Sprintf("%d of %d", writesTakenAsReads, writes),
		spreadOf(evaluated, func(r experiment.Result) float64 { return r.EstimateError.Median }),
		spreadOf(evaluated, func(r experiment.Result) float64 { return r.EstimateError.P90 }),
	)
	results.summary.Add(row...)
}

// addBaselines adds two rows to the summary, for a comparison with the classifier. The first row is for estimates
// by the client's hint alone, and the second for estimates by the mean work of the true class.
func addBaselines(summary *report.Table, results []experiment.Result) {
	summary.Add("the client's hint",
		spreadOf(results, func(r experiment.Result) float64 { return r.RightByHint }), "", "", "",
		spreadOf(results, func(r experiment.Result) float64 { return r.HintError.Median }),
		spreadOf(results, func(r experiment.Result) float64 { return r.HintError.P90 }))
	summary.Add("mean of the true class", "", "", "", "",
		spreadOf(results, func(r experiment.Result) float64 { return r.ClassMeanError.Median }),
		spreadOf(results, func(r experiment.Result) float64 { return r.ClassMeanError.P90 }))
}

// spreadOf formats the spread of one value over all recordings.
func spreadOf(results []experiment.Result, figure func(experiment.Result) float64) string {
	return newSample(results, figure).spread(shareDigits)
}
