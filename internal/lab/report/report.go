// Package report formats and writes the results of an experiment: a table in Markdown, the single measurements
// as CSV and a chart as SVG. The same values give the same bytes.
package report

import (
	"bytes"
	"encoding/csv"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/olekukonko/tablewriter"
	"github.com/olekukonko/tablewriter/renderer"
	"github.com/olekukonko/tablewriter/tw"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Table consists of named columns and rows. Each row has one text for each column.
type Table struct {
	Columns []string
	Rows    [][]string
}

// Add adds a row. Cells of type float64 are written with three significant digits.
func (t *Table) Add(cells ...any) {
	row := make([]string, len(cells))
	for i, cell := range cells {
		if number, ok := cell.(float64); ok {
			row[i] = fmt.Sprintf("%.3g", number)
		} else {
			row[i] = fmt.Sprint(cell)
		}
	}
	t.Rows = append(t.Rows, row)
}

// Markdown returns the table as Markdown.
func (t *Table) Markdown() (string, error) {
	var b strings.Builder
	w := tablewriter.NewTable(&b, tablewriter.WithRenderer(renderer.NewMarkdown()),
		tablewriter.WithHeaderAutoFormat(tw.Off), tablewriter.WithRowAutoWrap(tw.WrapNone),
		tablewriter.WithHeaderAutoWrap(tw.WrapNone))
	w.Header(t.Columns)
	if err := w.Bulk(t.Rows); err != nil {
		return "", fmt.Errorf("table: %w", err)
	}
	if err := w.Render(); err != nil {
		return "", fmt.Errorf("table: %w", err)
	}
	return b.String(), nil
}

// CSV returns the table as comma-separated values.
func (t *Table) CSV() (string, error) {
	var b bytes.Buffer
	w := csv.NewWriter(&b)
	if err := w.Write(t.Columns); err != nil {
		return "", fmt.Errorf("csv: %w", err)
	}
	if err := w.WriteAll(t.Rows); err != nil {
		return "", fmt.Errorf("csv: %w", err)
	}
	return b.String(), nil
}

// BarChart is a grouped bar chart.
type BarChart struct {
	Title  string
	Axis   string      // label of the value axis
	Groups []string    // names of the groups, along the other axis
	Series []string    // names of the bars in a group, shown in the legend
	Values [][]float64 // indexed by series, then by group
}

// SVG returns the chart in SVG format.
func (c *BarChart) SVG() ([]byte, error) {
	const allBarsWidth = 240 // points
	chart := plot.New()
	chart.Title.Text = c.Title
	chart.Y.Label.Text = c.Axis
	width := vg.Points(allBarsWidth / float64(max(len(c.Series)*len(c.Groups), 1)))
	for i, values := range c.Values {
		bars, err := plotter.NewBarChart(plotter.Values(values), width)
		if err != nil {
			return nil, fmt.Errorf("chart: %w", err)
		}
		bars.Color = plotutil.Color(i)
		bars.LineStyle.Width = 0
		// The bars of a group are centered on the name of the group.
		bars.Offset = width * vg.Length(float64(i)-float64(len(c.Values)-1)/2)
		chart.Add(bars)
		chart.Legend.Add(c.Series[i], bars)
	}
	chart.Legend.Top = true
	chart.NominalX(c.Groups...)
	return draw(chart)
}

// Size of a chart.
const (
	chartWidth  = 18 * vg.Centimeter
	chartHeight = 10 * vg.Centimeter
)

// draw returns a chart as SVG.
func draw(chart *plot.Plot) ([]byte, error) {
	w, err := chart.WriterTo(chartWidth, chartHeight, "svg")
	if err != nil {
		return nil, fmt.Errorf("chart: %w", err)
	}
	var b bytes.Buffer
	if _, err := w.WriteTo(&b); err != nil {
		return nil, fmt.Errorf("chart: %w", err)
	}
	return b.Bytes(), nil
}

// The modes of the directory of results and of its files.
const (
	directoryMode = 0o755
	fileMode      = 0o644
)

// Write writes the files of one experiment into a directory. The keys of files are the file names.
func Write(dir string, files map[string][]byte) error {
	if err := os.MkdirAll(dir, directoryMode); err != nil {
		return fmt.Errorf("results: %w", err)
	}
	for name, content := range files {
		if err := os.WriteFile(filepath.Join(dir, name), content, fileMode); err != nil {
			return fmt.Errorf("results: %w", err)
		}
	}
	return nil
}
