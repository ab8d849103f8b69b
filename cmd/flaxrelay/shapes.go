package main

import (
	"fmt"
	"io"
	"math"
	"os"
	"strings"
	"text/tabwriter"

	"flaxrelay/internal/stmtstats"
)

// shapesCommand groups the commands that inspect query shapes.
type shapesCommand struct {
	Explain explainCommand `name:"explain" cmd:"" help:"Show how a statement is parsed, classified and estimated, and why."`
	Top     topCommand     `name:"top" cmd:"" help:"List the shapes of a snapshot that take the most work."`
	Diff    diffCommand    `name:"diff" cmd:"" help:"List the shapes whose cost differs most between two snapshots."`
}

// columnGap is the number of spaces between two columns of a table.
const columnGap = 2

// table collects rows of tab-separated cells and prints them with aligned columns.
type table struct{ rows strings.Builder }

// row adds one line; the cells of its format are separated by tabs.
func (t *table) row(format string, args ...any) {
	fmt.Fprintf(&t.rows, format+"\n", args...)
}

// print writes the table to standard output.
func (t *table) print() error {
	aligned := tabwriter.NewWriter(os.Stdout, 0, 0, columnGap, ' ', 0)
	if _, err := io.WriteString(aligned, t.rows.String()); err != nil {
		return err
	}
	return aligned.Flush()
}

// typicalCost returns the work of a usual execution of a shape in milliseconds, 0 without
// executions. Statistics hold it as a power of two.
func typicalCost(shape *stmtstats.SavedShape) float64 {
	if shape.Record.Work.Samples == 0 {
		return 0
	}
	return math.Exp2(float64(shape.Record.Work.Median))
}

// maxShapeWidth keeps a table's rows within a wide terminal.
const maxShapeWidth = 160

// abbreviate cuts a shape's text that is too wide for a table.
func abbreviate(text string) string {
	const ellipsis = "..."
	if len(text) <= maxShapeWidth {
		return text
	}
	return text[:maxShapeWidth-len(ellipsis)] + ellipsis
}
