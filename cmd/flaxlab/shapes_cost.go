package main

import (
	"context"
	"fmt"
	"slices"
	"time"

	"flaxrelay/internal/lab/experiment"
	"flaxrelay/internal/lab/report"
)

// costCommand measures the CPU time that statement shapes add to a request.
type costCommand struct {
	programFlag
	Clients  int    `default:"8" help:"Number of client connections."`
	Requests int    `default:"40000" help:"Requests in each round."`
	Rounds   int    `default:"5" help:"Pairs of rounds, one without and one with shapes."`
	Prepared bool   `help:"Prepare statements once and bind them many times, instead of a Query for each request."`
	Seed     uint64 `default:"1" help:"Seed of the statements."`
	Out      string `placeholder:"FOLDER" help:"Write shapes-cost-query.* or shapes-cost-prepared.* there."`
}

// costTimeout limits an experiment, in case its front end stops responding. A large experiment takes a
// few minutes.
const costTimeout = 20 * time.Minute

// Decimal places of CPU times in microseconds, and of their ratios.
const (
	cpuDigits   = 1
	ratioDigits = 3
)

// costSeries are the names of the two kinds of rounds.
var costSeries = []string{"without", "with shapes"}

// Run measures pairs of rounds without and with statement shapes, and publishes the results.
func (c *costCommand) Run() error {
	ctx, cancel := context.WithTimeout(context.Background(), costTimeout)
	defer cancel()
	program, cleanUp, err := c.frontEndProgram(ctx)
	if err != nil {
		return err
	}
	defer cleanUp()
	without, with, err := experiment.MeasureCost(ctx, experiment.CostOptions{
		Root:     repositoryRoot,
		Program:  program,
		Clients:  c.Clients,
		Requests: c.Requests,
		Pairs:    c.Rounds,
		Seed:     c.Seed,
		Prepared: c.Prepared,
	})
	if err != nil {
		return err
	}
	return costResults(c.resultsName(), without, with).publish(c.Out)
}

func (c *costCommand) resultsName() string {
	if c.Prepared {
		return "shapes-cost-prepared"
	}
	return "shapes-cost-query"
}

// costResults summarizes pairs of rounds: without[i] and with[i] are a pair.
func costResults(name string, without, with []experiment.CostRound) *experimentResults {
	results := &experimentResults{
		name:    name,
		summary: report.Table{Columns: []string{"", "CPU per request, us", "requests per second", "resident memory"}},
		figures: report.Table{Columns: []string{"shapes", "round", "cpu_us", "rate", "kb"}},
		chart: report.BarChart{
			Title:  "CPU time of the front end for one request",
			Axis:   "us",
			Series: costSeries,
			Values: make([][]float64, len(costSeries)),
		},
	}
	var ratios sample
	for i := range with {
		ratios = append(ratios, with[i].CPUMicros/without[i].CPUMicros)
		results.chart.Groups = append(results.chart.Groups, fmt.Sprintf("pair %d", i+1))
	}
	slices.Sort(ratios)
	for i, rounds := range [][]experiment.CostRound{without, with} {
		addCostRounds(results, i, rounds)
	}
	results.summary.Add("with / without, by pairs", ratios.spread(ratioDigits), "", "")
	return results
}

// addCostRounds adds the rounds of one series to the summary, the figures and the chart.
func addCostRounds(results *experimentResults, seriesIndex int, rounds []experiment.CostRound) {
	series := results.chart.Series[seriesIndex]
	for i, round := range rounds {
		cpuMicros := fmt.Sprintf("%.2f", round.CPUMicros)
		rate := fmt.Sprintf("%.0f", round.RequestsPerSecond)
		results.figures.Add(series, i+1, cpuMicros, rate, round.ResidentBytes/bytesPerKB)
		results.chart.Values[seriesIndex] = append(results.chart.Values[seriesIndex], round.CPUMicros)
	}
	cpu := newSample(rounds, func(r experiment.CostRound) float64 { return r.CPUMicros })
	rate := newSample(rounds, func(r experiment.CostRound) float64 { return r.RequestsPerSecond })
	resident := newSample(rounds, func(r experiment.CostRound) float64 { return float64(r.ResidentBytes) })
	residentMB := fmt.Sprintf("%.1f MB", resident.median()/bytesPerMB)
	results.summary.Add(series, cpu.spread(cpuDigits), fmt.Sprintf("%.0f", rate.median()), residentMB)
}
