package config

import (
	"fmt"
	"os"
	"path/filepath"

	"flaxrelay/internal/decision/costmodel"
	"flaxrelay/policy"
)

// Limits and defaults of Shapes.
const (
	minShapesKB     = 64 // enough for a few shapes
	maxShapesKB     = 1 << 20
	defaultShapesKB = 2048

	minHysteresis = 1 // no hysteresis: a shape changes its class at the limit itself
	maxHysteresis = 10

	minSnapshotSeconds     = 10
	maxSnapshotSeconds     = 86400 // a day
	defaultSnapshotSeconds = 300
)

// setDefaults sets the defaults of missing fields, unless statement statistics are off.
func (s *Shapes) setDefaults() {
	if !s.Enabled {
		return
	}
	if s.MemoryKB == 0 {
		s.MemoryKB = defaultShapesKB
	}
	if s.Hysteresis == 0 {
		s.Hysteresis = costmodel.DefaultHysteresis
	}
	if s.SnapshotSeconds == 0 {
		s.SnapshotSeconds = defaultSnapshotSeconds
	}
}

// validate reports invalid fields, unless statement statistics are off. The prefix precedes the names of
// the fields in errors; classes are the classes of the settings.
func (s *Shapes) validate(v *validator, prefix string, classes []policy.Class) {
	if !s.Enabled {
		return
	}
	v.require(s.MemoryKB >= minShapesKB && s.MemoryKB <= maxShapesKB, prefix+"memory_kb",
		"%d is not from %d to %d", s.MemoryKB, minShapesKB, maxShapesKB)
	v.require(s.Hysteresis >= minHysteresis && s.Hysteresis <= maxHysteresis, prefix+"hysteresis",
		"%g is not from %d to %d", s.Hysteresis, minHysteresis, maxHysteresis)
	v.require(s.SnapshotSeconds >= minSnapshotSeconds && s.SnapshotSeconds <= maxSnapshotSeconds,
		prefix+"snapshot_every_s", "%g is not from %d to %d", s.SnapshotSeconds, minSnapshotSeconds, maxSnapshotSeconds)
	if s.Snapshot != "" {
		_, err := os.Stat(filepath.Dir(s.Snapshot))
		v.require(err == nil, prefix+"snapshot", "its directory cannot be used: %v", err)
	}
	for i := range s.Classes {
		s.validateClass(v, i, fmt.Sprintf("%sclass[%d].", prefix, i), classes)
	}
}

// validateClass validates one shape class. The shape class must have the name of an idempotent class of
// the settings. Its limit must be above 0 and above the limit of the previous shape class. The last shape
// class must have no limit.
func (s *Shapes) validateClass(v *validator, index int, prefix string, classes []policy.Class) {
	shapeClass := &s.Classes[index]
	class := findClass(classes, shapeClass.Name)
	v.require(class != nil, prefix+"name", unknownClassText, shapeClass.Name)
	v.require(class == nil || class.Effect == policy.Idempotent, prefix+"name",
		"class %q is not idempotent; read-only statements need an idempotent class", shapeClass.Name)
	last := index == len(s.Classes)-1
	if last {
		v.require(shapeClass.UpToMS == 0, prefix+"up_to_ms", "the last class must have no limit")
		return
	}
	abovePrevious := index == 0 || shapeClass.UpToMS > s.Classes[index-1].UpToMS
	v.require(shapeClass.UpToMS > 0 && abovePrevious, prefix+"up_to_ms",
		"%g is not above the limit of the previous class", shapeClass.UpToMS)
}
