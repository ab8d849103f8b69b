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

	"github.com/HdrHistogram/hdrhistogram-go"
)

// statsCommand summarizes a traffic file.
type statsCommand struct {
	File string `name:"file" arg:"" help:"The file."`
}

// Run prints what the file holds: its classes with their times, and its hard cases. Of a
// file that was cut off it prints what could be read.
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

// oneOffTemplate is the template of a statement whose shape never recurs. Other
// negative ones are of statements without a template.
const oneOffTemplate = -1

// trafficStats sums up the records of a file.
type trafficStats struct {
	classes        map[string]*classStats
	hardCases      map[string]int
	recurring      map[int]struct{} // templates
	oneOff         int
	total          int
	statementBytes int
	lastArrival    int64 // microseconds from the start
}

// classStats sums up the records of one class.
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
	_ = class.work.RecordValue(max(int64(record.WorkMS*microsecondsPerMS), 1)) // past an hour it would only be left out
	if record.HardCase != "" {
		class.hard++
		s.hardCases[record.HardCase]++
	}
	switch {
	case record.Template >= 0:
		s.recurring[record.Template] = struct{}{}
	case record.Template == oneOffTemplate:
		s.oneOff++
	}
	s.total++
	s.statementBytes += len(record.Statement)
	s.lastArrival = record.ArrivalMicros
}

func (s *trafficStats) printHead(head traffic.Head) {
	duration := time.Duration(s.lastArrival) * time.Microsecond
	fmt.Printf("seed %d, %s arrivals, %d statements in %s; %d shapes recur, %d come once; %d bytes a statement\n%s\n\n",
		head.Seed, head.Arrivals, s.total, duration, len(s.recurring), s.oneOff, s.statementBytes/max(s.total, 1), head.ModelOptions)
}

// printClasses prints a table of the classes.
func (s *trafficStats) printClasses() {
	var rows strings.Builder
	rows.WriteString("class\tshare\tworth\tmedian ms\tp90 ms\tp99 ms\thard\n")
	for _, name := range slices.Sorted(maps.Keys(s.classes)) {
		class := s.classes[name]
		share := 100 * class.count / float64(s.total)
		fmt.Fprintf(&rows, "%s\t%.1f %%\t%.0f\t%.0f\t%.0f\t%.0f\t%d\n", name, share, class.weight,
			class.workMS(50), class.workMS(90), class.workMS(99), class.hard)
	}
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	// As for the lines around it, errors of standard output are ignored.
	_, _ = io.WriteString(table, rows.String())
	_ = table.Flush()
}

// workMS returns a percentile of the work in milliseconds.
func (c *classStats) workMS(percentile float64) float64 {
	return float64(c.work.ValueAtQuantile(percentile)) / microsecondsPerMS
}

// printHardCases lists the hard cases with their numbers, if there are any.
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
