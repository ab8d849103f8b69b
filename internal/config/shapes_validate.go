package config

import (
	"fmt"
	"os"
	"path/filepath"

	"flaxrelay/internal/decision/costmodel"
	"flaxrelay/policy"
)

// Bounds and defaults of Shapes.
const (
	minShapesKB     = 64 // less would hold a few shapes only
	maxShapesKB     = 1 << 20
	defaultShapesKB = 2048

	minHysteresis = 1 // a shape changes class at the bound itself
	maxHysteresis = 10

	minSnapshotSeconds     = 10
	maxSnapshotSeconds     = 86400 // a day
	defaultSnapshotSeconds = 300
)

// setDefaults fills in what the file leaves out. Settings that are off stay as they are.
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

// validate reports faults, unless the settings are off. The prefix is that of the fields
// in the file; the classes are those of the settings.
func (s *Shapes) validate(v *validator, prefix string, classes []policy.Class) {
	if !s.Enabled {
		return
	}
	v.require(s.MemoryKB >= minShapesKB && s.MemoryKB <= maxShapesKB, prefix+"memory_kb",
		"%d is not from %d to %d", s.MemoryKB, minShapesKB, maxShapesKB)
	v.require(s.Hysteresis >= minHysteresis && s.Hysteresis <= maxHysteresis, prefix+"hysteresis",
		"%g is not from %d to %d", s.Hysteresis, minHysteresis, maxHysteresis)
	v.require(s.SnapshotSeconds >= minSnapshotSeconds && s.SnapshotSeconds <= maxSnapshotSeconds, prefix+"snapshot_every_s",
		"%g is not from %d to %d", s.SnapshotSeconds, minSnapshotSeconds, maxSnapshotSeconds)
	if s.Snapshot != "" {
		_, err := os.Stat(filepath.Dir(s.Snapshot))
		v.require(err == nil, prefix+"snapshot", "its folder can't be used: %v", err)
	}
	for i := range s.Classes {
		s.validateClass(v, i, fmt.Sprintf("%sclass[%d].", prefix, i), classes)
	}
}

// validateClass reports faults of one class: its name must be that of an idempotent
// class, and its bound above that of the class before, with none on the last.
func (s *Shapes) validateClass(v *validator, index int, prefix string, classes []policy.Class) {
	shape := &s.Classes[index]
	class := findClass(classes, shape.Name)
	v.require(class != nil, prefix+"name", "%q is no class of the settings", shape.Name)
	v.require(class == nil || class.Effect == policy.Idempotent, prefix+"name",
		"class %q is not safe to repeat; statements that read are sorted here", shape.Name)
	last := index == len(s.Classes)-1
	if last {
		v.require(shape.UpToMS == 0, prefix+"up_to_ms", "the last class has no end")
		return
	}
	rises := index == 0 || shape.UpToMS > s.Classes[index-1].UpToMS
	v.require(shape.UpToMS > 0 && rises, prefix+"up_to_ms", "%g is not above the class before", shape.UpToMS)
}
