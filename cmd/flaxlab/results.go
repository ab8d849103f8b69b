package main

import (
	"fmt"
	"path/filepath"

	"flaxrelay/internal/lab/report"
)

// experimentResults are the results of one experiment, to be printed and written to files.
type experimentResults struct {
	name    string       // base name of the files
	summary report.Table // also printed
	figures report.Table // one row for each measurement
	chart   report.BarChart
}

// publish prints the summary. It also writes the summary, the figures and the chart to files in the directory,
// unless directory is "".
func (r *experimentResults) publish(directory string) error {
	markdown, err := r.summary.Markdown()
	if err != nil {
		return err
	}
	fmt.Print(markdown)
	if directory == "" {
		return nil
	}
	csv, err := r.figures.CSV()
	if err != nil {
		return err
	}
	chart, err := r.chart.SVG()
	if err != nil {
		return err
	}
	err = report.Write(directory, map[string][]byte{
		r.name + ".md":  []byte(markdown),
		r.name + ".csv": []byte(csv),
		r.name + ".svg": chart,
	})
	if err != nil {
		return err
	}
	fmt.Println("written to", filepath.Join(directory, r.name)+".*")
	return nil
}
