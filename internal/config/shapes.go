package config

import (
	"fmt"
	"os"
	"time"

	"flaxrelay/internal/decision/costmodel"
)

// Shapes configures classification and cost estimates by statement shape. The PostgreSQL front
// end reads it from the table [shapes] of its deploy file, the HTTP front end from a separate file.
type Shapes struct {
	// Enabled turns statement statistics on. Without them, classes and estimates come from clients and
	// rules only.
	Enabled bool `toml:"enabled"`
	// MemoryKB limits the size of the cache of shapes. It must be at most a quarter of memory_mb.
	MemoryKB int `toml:"memory_kb"`
	// Hysteresis is a factor. A shape changes its class only if its expected cost is beyond the limit
	// between the two classes by this factor.
	Hysteresis float64 `toml:"hysteresis"`
	// CorrectEstimates replaces the estimates of clients with expected costs.
	CorrectEstimates bool `toml:"correct_estimates"`
	// Snapshot is the file that preserves the statistics across restarts; "": no snapshot is written.
	Snapshot string `toml:"snapshot"`
	// SnapshotSeconds is the time between snapshots.
	SnapshotSeconds float64 `toml:"snapshot_every_s"`
	// Classes are the classes of read-only statements, the cheapest first. If the list is empty,
	// statements are not classified by their shape.
	Classes []ShapeClass `toml:"class"`
}

// ShapeClass is a class that read-only statements may get.
type ShapeClass struct {
	Name   string  `toml:"name"`
	UpToMS float64 `toml:"up_to_ms"` // limit on the expected execution time; 0 for the last class
}

// LoadShapes reads the file of shape settings of the HTTP front end. The returned error contains
// all errors in the file (see FieldErrorsOf).
func LoadShapes(path string) (*Shapes, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("shapes: %w", err)
	}
	var shapes Shapes
	v := &validator{file: path}
	if decodeTOML(v, raw, &shapes) {
		v.require(len(shapes.Classes) == 0, "class", "the HTTP front end takes the class of a request from its path")
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
func (s *Shapes) SnapshotInterval() time.Duration {
	const millisecondsPerSecond = 1000
	return FromMilliseconds(s.SnapshotSeconds * millisecondsPerSecond)
}
