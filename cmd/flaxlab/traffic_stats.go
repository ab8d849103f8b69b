package main

import (
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"flaxrelay/internal/lab/traffic"
	"flaxrelay/internal/lab/workload"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// statsCommand summarizes a traffic file.
type statsCommand struct {
	File string `arg:"" help:"The file."`
}

// Run prints the classes in a file with percentiles of their work, and the hard cases. If the file is
// truncated, Run summarizes the complete records.
func (c *statsCommand) Run() error {
	stats := trafficStats{classes: map[string]*classStats{}, hardCases: map[string]int{}, recurring: map[int]struct{}{}}
	head, err := readRecords(c.File, func(record *traffic.Record) bool {
		stats.add(record)
		return true
	})
	stats.printHead(head)
	stats.printClasses()
	stats.printHardCases()
	return err
}

// Histograms of work hold microseconds up to an hour with three significant digits.
const (
	maxWork               = time.Hour
	workSignificantDigits = 3
	microsecondsPerMS     = 1000
)

// trafficStats summarizes the records of a file.
type trafficStats struct {
	classes        map[string]*classStats
	hardCases      map[string]int
	recurring      map[int]struct{} // numbers of the recurring templates
	oneOff         int
	total          int
	statementBytes int
	lastArrival    int64 // microseconds from the start
}

// classStats summarizes the records of one class.
type classStats struct {
	count  float64
	weight float64                 // sum of the priority weights
	work   *hdrhistogram.Histogram // microseconds
	hard   int
}

// add counts one record.
func (s *trafficStats) add(record *traffic.Record) {
	class := s.classes[record.Class]
	if class == nil {
		class = &classStats{work: hdrhistogram.New(1, maxWork.Microseconds(), workSignificantDigits)}
		s.classes[record.Class] = class
	}
	class.count++
	class.weight += record.Weight
	_ = class.work.RecordValue(max(int64(record.WorkMS*microsecondsPerMS), 1)) // leaves out work above maxWork
	if record.HardCase != "" {
		class.hard++
		s.hardCases[record.HardCase]++
	}
	switch {
	case record.Template >= 0:
		s.recurring[record.Template] = struct{}{}
	case record.Template == workload.TemplateOneOff:
		s.oneOff++
	}
	s.total++
	s.statementBytes += len(record.Statement)
	s.lastArrival = record.ArrivalMicros
}

func (s *trafficStats) printHead(head traffic.Head) {
	duration := time.Duration(s.lastArrival) * time.Microsecond
	bytesPerStatement := s.statementBytes / max(s.total, 1)
	fmt.Printf("seed %d, %s arrivals, %d statements in %s; ", head.Seed, head.Arrivals, s.total, duration)
	fmt.Printf("%d shapes recur, %d occur once; %d bytes per statement\n%s\n\n",
		len(s.recurring), s.oneOff, bytesPerStatement, head.ModelOptions)
}

// printClasses prints a table of the classes.
func (s *trafficStats) printClasses() {
	var rows strings.Builder
	rows.WriteString("class\tshare\tpriority weight\tmedian ms\tp90 ms\tp99 ms\thard\n")
	for _, name := range slices.Sorted(maps.Keys(s.classes)) {
		class := s.classes[name]
		const allPercent = 100
		percent := allPercent * class.count / float64(s.total)
		fmt.Fprintf(&rows, "%s\t%.1f %%\t%.0f\t%.0f\t%.0f\t%.0f\t%d\n", name, percent, class.weight,
			class.workMS(median), class.workMS(p90), class.workMS(p99), class.hard)
	}
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	// Errors of standard output are ignored, like those of fmt.Printf.
	_, _ = io.WriteString(table, rows.String())
	_ = table.Flush()
}

// Percentiles that are printed.
const (
	median = 50
	p90    = 90
	p99    = 99
)

// workMS returns a percentile of the work in milliseconds.
func (c *classStats) workMS(percentile float64) float64 {
	return float64(c.work.ValueAtQuantile(percentile)) / microsecondsPerMS
}

// printHardCases lists the hard cases with their counts, if there are any.
func (s *trafficStats) printHardCases() {
	cases := make([]string, 0, len(s.hardCases))
	for name, count := range s.hardCases {
		cases = append(cases, fmt.Sprintf("%s (%d)", name, count))
	}
	slices.Sort(cases)
	if len(cases) > 0 {
		fmt.Printf("\nhard: %s\n", strings.Join(cases, ", "))
	}
}
