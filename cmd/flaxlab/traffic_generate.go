package main

import (
	"bufio"
	"fmt"
	"io"
	"os"

	"flaxrelay/internal/lab/traffic"
	"flaxrelay/internal/lab/workload"

	"github.com/vbauerster/mpb/v8"
	"github.com/vbauerster/mpb/v8/decor"
)

// workloadFlags are the flags of the workload model.
type workloadFlags struct {
	Seed        uint64  `default:"1" help:"Seed of all random numbers."`
	Number      int     `default:"20000" help:"Number of statements."`
	Templates   int     `default:"200" help:"Number of recurring shapes."`
	OneOff      float64 `default:"0.05" help:"Share of statements whose shape never recurs."`
	Hard        float64 `default:"0.04" help:"Share of lookups whose values make them reports."`
	Writes      float64 `default:"0.02" help:"Share of statements that write and are not loads."`
	DriftAt     float64 `default:"0.6" help:"Share of statements before the orders table grows; 0: it never grows."`
	Drift       float64 `default:"3" help:"Factor by which the orders table grows."`
	HintNoise   float64 `default:"0.7" help:"Standard deviation of the natural logarithm of a hint's random factor."`
	HintMissing float64 `default:"0.15" help:"Share of statements without a hint."`
}

func (f workloadFlags) options() workload.Options {
	return workload.Options{
		Seed:             f.Seed,
		Templates:        f.Templates,
		OneOffShare:      f.OneOff,
		HardShare:        f.Hard,
		WriteShare:       f.Writes,
		DriftFrom:        f.DriftAt,
		DriftFactor:      f.Drift,
		HintSigma:        f.HintNoise,
		HintMissingShare: f.HintMissing,
	}
}

// generateCommand writes a file of generated traffic.
type generateCommand struct {
	workloadFlags
	File     string  `arg:"" help:"The file to write."`
	Rate     float64 `default:"99" help:"Nominal statements per second; a season has fewer on average."`
	Arrivals string  `name:"comes" enum:"poisson,bursts,season" default:"season" help:"Arrival process: ${enum}."`
}

// progressBarWidth is the width of the progress bar in columns of the terminal.
const progressBarWidth = 40

// Run writes the file, with a progress bar on standard error.
func (c *generateCommand) Run() error {
	file, err := os.Create(c.File)
	if err != nil {
		return fmt.Errorf("traffic file: %w", err)
	}
	buffered := bufio.NewWriter(file)
	// The records before an error are flushed too, because they can be read.
	err = firstError(c.generate(buffered), buffered.Flush(), file.Close())
	if err != nil {
		return err
	}
	fmt.Printf("%d statements of seed %d in %s\n", c.Number, c.Seed, c.File)
	return nil
}

// generate writes the traffic and shows its progress.
func (c *generateCommand) generate(out io.Writer) error {
	progress := mpb.New(mpb.WithOutput(os.Stderr), mpb.WithWidth(progressBarWidth))
	bar := progress.AddBar(int64(c.Number),
		mpb.PrependDecorators(decor.Name("statements ")),
		mpb.AppendDecorators(decor.CountersNoUnit("%d of %d")))
	process := traffic.ArrivalProcess(c.Arrivals)
	err := traffic.Generate(out, c.options(), c.Number, c.Rate, process, func(records int) { bar.IncrBy(records) })
	bar.SetCurrent(int64(c.Number))
	progress.Wait()
	return err
}

// firstError returns the first error that is not nil. Later errors are consequences of the first.
func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
