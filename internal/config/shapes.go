package config

import (
	"fmt"
	"os"
	"time"

	"flaxrelay/internal/decision/costmodel"
)

// Shapes configures the classification and cost estimates by query shape: the table
// [shapes] of the PostgreSQL front end's deploy file, or a file of its own for the
// platform's front end.
type Shapes struct {
	Enabled          bool         `toml:"enabled"`           // false: classes and estimates are those of clients and rules
	MemoryKB         int          `toml:"memory_kb"`         // of records and bookkeeping; at most a quarter of memory_mb
	Hysteresis       float64      `toml:"hysteresis"`        // factor past the bound of a class at which a shape changes class
	CorrectEstimates bool         `toml:"correct_estimates"` // expected costs replace the client's estimates
	Snapshot         string       `toml:"snapshot"`          // file that preserves the statistics over a restart; "": none
	SnapshotSeconds  float64      `toml:"snapshot_every_s"`  // time between snapshots
	Classes          []ShapeClass `toml:"class"`             // of read-only statements, the cheapest first; none: not classified
}

// ShapeClass is a class that read-only statements may get.
type ShapeClass struct {
	Name   string  `toml:"name"`
	UpToMS float64 `toml:"up_to_ms"` // expected time; the last class has none
}

// LoadShapes reads the file of query shape settings of the platform's front end.
func LoadShapes(path string) (*Shapes, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("shapes: %w", err)
	}
	var shapes Shapes
	v := &validator{file: path}
	if decodeTOML(v, raw, &shapes) {
		v.require(len(shapes.Classes) == 0, "class", "the platform's front is told its classes by the path, and sorts nothing into them")
		shapes.setDefaults()
		shapes.validate(v, "", nil)
	}
	if err := v.err(); err != nil {
		return nil, err
	}
	return &shapes, nil
}

// CostModel returns the configuration of the cost model.
func (s *Shapes) CostModel() costmodel.Config {
	model := costmodel.Config{Hysteresis: s.Hysteresis}
	for _, class := range s.Classes {
		model.Classes = append(model.Classes, costmodel.Class{Name: class.Name, MaxWorkMillis: class.UpToMS})
	}
	return model
}

// SnapshotInterval returns the time between snapshots.
func (s *Shapes) SnapshotInterval() time.Duration { return FromMilliseconds(s.SnapshotSeconds * 1000) }
