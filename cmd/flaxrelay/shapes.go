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

// shapesCommand groups the commands that inspect statement shapes.
type shapesCommand struct {
	Explain explainCommand `cmd:"" help:"Show how a statement is parsed, classified and estimated."`
	Top     topCommand     `cmd:"" help:"List the shapes of a snapshot that take the most work."`
	Diff    diffCommand    `cmd:"" help:"List the shapes whose cost differs most between two snapshots."`
}

// columnGap is the number of spaces between the columns of a table.
const columnGap = 2

// table collects rows of cells and prints them with aligned columns.
type table struct{ rows strings.Builder }

// row formats one row, whose cells are separated by tabs.
func (t *table) row(format string, args ...any) {
	fmt.Fprintf(&t.rows, format+"\n", args...)
}

// print writes the table to standard output.
func (t *table) print() error {
	aligned := tabwriter.NewWriter(os.Stdout, 0, 0, columnGap, ' ', 0)
	if _, err := io.WriteString(aligned, t.rows.String()); err != nil {
		return fmt.Errorf("print the table: %w", err)
	}
	if err := aligned.Flush(); err != nil {
		return fmt.Errorf("print the table: %w", err)
	}
	return nil
}

// medianWork returns the median work of the executions of a shape in milliseconds, or 0 if there are no
// executions. Records contain the binary logarithm of the median.
func medianWork(shape *stmtstats.SavedShape) float64 {
	if shape.Record.Work.Samples == 0 {
		return 0
	}
	return math.Exp2(float64(shape.Record.Work.Median))
}

// maxShapeWidth limits the length of a shape in a table, in bytes, so that a row fits on a wide
// terminal.
const maxShapeWidth = 160

// abbreviate shortens the text of a shape to maxShapeWidth bytes.
func abbreviate(text string) string {
	const ellipsis = "..."
	if len(text) <= maxShapeWidth {
		return text
	}
	return text[:maxShapeWidth-len(ellipsis)] + ellipsis
}
