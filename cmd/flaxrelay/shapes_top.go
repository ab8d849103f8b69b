package main

import (
	"cmp"
	"slices"

	"flaxrelay/internal/stmtstats"
)

// topCommand lists the shapes of a snapshot that take the most work.
type topCommand struct {
	Snapshot string `arg:"" help:"The snapshot."`
	MaxRows  int    `name:"most" default:"20" help:"Maximum number of rows."`
}

// Run lists the shapes in descending order of total work.
func (c *topCommand) Run() error {
	snapshot, err := stmtstats.ReadSnapshot(c.Snapshot)
	if err != nil {
		return err
	}
	slices.SortStableFunc(snapshot.Shapes, func(a, b stmtstats.SavedShape) int {
		return cmp.Compare(totalWork(&b), totalWork(&a))
	})
	var t table
	t.row("executions\twork ms\tprofiles\tshape")
	for i := range snapshot.Shapes[:min(c.MaxRows, len(snapshot.Shapes))] {
		shape := &snapshot.Shapes[i]
		t.row("%d\t%.4g\t%d\t%s",
			shape.Record.Executions, medianWork(shape), countProfiles(shape), abbreviate(shape.NormalForm))
	}
	t.row("\n%d shapes\t\t\t%d more were too long to store", len(snapshot.Shapes), snapshot.Truncated)
	return t.print()
}

// totalWork returns the approximate work of all executions of a shape in milliseconds.
func totalWork(shape *stmtstats.SavedShape) float64 {
	return float64(shape.Record.Executions) * medianWork(shape)
}

// countProfiles returns the number of parameter profiles of a shape that have executions.
func countProfiles(shape *stmtstats.SavedShape) int {
	count := 0
	for _, bucket := range shape.Record.Buckets {
		if bucket.Work.Samples > 0 {
			count++
		}
	}
	return count
}
