package main

import (
	"cmp"
	"math"
	"slices"
	"strconv"

	"flaxrelay/internal/stmtstats"
)

// diffCommand compares two snapshots.
type diffCommand struct {
	Old       string  `arg:"" help:"The older snapshot."`
	New       string  `arg:"" help:"The newer snapshot."`
	MaxRows   int     `name:"most" default:"20" help:"Maximum number of rows."`
	MinFactor float64 `name:"over" default:"1.5" help:"Minimum factor by which the work must have changed."`
}

// workChange is a shape that is in both snapshots, with its median work in each, in milliseconds.
type workChange struct {
	normalForm string
	before     float64
	after      float64
}

// magnitude returns the absolute value of the logarithm of after / before.
func (c workChange) magnitude() float64 { return math.Abs(math.Log(c.after / c.before)) }

// snapshotDiff is the difference between two snapshots.
type snapshotDiff struct {
	changes []workChange // the largest change first
	added   int          // number of shapes that only the newer snapshot has
	removed int          // number of shapes that only the older snapshot has
}

// Run lists the shapes whose median work has changed, and counts those that were added or removed.
func (c *diffCommand) Run() error {
	before, err := stmtstats.ReadSnapshot(c.Old)
	if err != nil {
		return err
	}
	after, err := stmtstats.ReadSnapshot(c.New)
	if err != nil {
		return err
	}
	diff := compareSnapshots(before, after, c.MinFactor)
	var t table
	t.row("before ms\tafter ms\tfactor\tshape")
	for _, change := range diff.changes[:min(c.MaxRows, len(diff.changes))] {
		factor := strconv.FormatFloat(change.after/change.before, 'g', 3, 64)
		t.row("%.4g\t%.4g\t%s\t%s", change.before, change.after, factor, abbreviate(change.normalForm))
	}
	t.row("\n%d changed\t%d added\t%d removed\t", len(diff.changes), diff.added, diff.removed)
	return t.print()
}

// compareSnapshots returns the difference between two snapshots. Changes by a factor of less than
// minFactor are omitted.
func compareSnapshots(before, after *stmtstats.Snapshot, minFactor float64) snapshotDiff {
	remaining := make(map[string]*stmtstats.SavedShape, len(before.Shapes))
	for i := range before.Shapes {
		remaining[before.Shapes[i].NormalForm] = &before.Shapes[i]
	}
	minMagnitude := math.Log(max(minFactor, 1))
	var diff snapshotDiff
	for i := range after.Shapes {
		shape := &after.Shapes[i]
		old := remaining[shape.NormalForm]
		if old == nil {
			diff.added++
			continue
		}
		delete(remaining, shape.NormalForm)
		change := workChange{normalForm: shape.NormalForm, before: medianWork(old), after: medianWork(shape)}
		if change.before > 0 && change.after > 0 && change.magnitude() >= minMagnitude {
			diff.changes = append(diff.changes, change)
		}
	}
	diff.removed = len(remaining)
	slices.SortStableFunc(diff.changes, func(a, b workChange) int {
		return cmp.Compare(b.magnitude(), a.magnitude())
	})
	return diff
}
