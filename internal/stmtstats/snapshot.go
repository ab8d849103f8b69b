package stmtstats

import (
	"errors"
	"fmt"

	"flaxrelay/internal/decision/costmodel"
)

// Errors of snapshots.
var (
	// ErrSnapshotForeign means that the file is no snapshot of shapes.
	ErrSnapshotForeign = errors.New("no snapshot of shapes")
	// ErrSnapshotVersion means that the format or the layout is not the one read here.
	ErrSnapshotVersion = errors.New("a snapshot of another version")
	// ErrSnapshotTruncated means that bytes are missing at the end.
	ErrSnapshotTruncated = errors.New("the snapshot was cut off")
	// ErrSnapshotDamaged means that the contents are invalid.
	ErrSnapshotDamaged = errors.New("the snapshot is damaged")
)

// Snapshot is the state of a Store in a form that outlives the process. It holds no
// fingerprints, as their seeds belong to one process: Restore computes them anew.
type Snapshot struct {
	Layout int              `cbor:"1,keyasint"`
	Keys   uint64           `cbor:"2,keyasint"` // seed of the hashes of values
	Model  *costmodel.State `cbor:"3,keyasint"`
	Shapes []Saved          `cbor:"4,keyasint"`
	Cut    int              `cbor:"5,keyasint"` // shapes left out, as their normal forms are truncated
}

// Saved is one shape of a Snapshot.
type Saved struct {
	Norm  string                `cbor:"1,keyasint"` // the complete normal form
	Entry costmodel.ShapeRecord `cbor:"2,keyasint"`
}

// Snapshot copies the state of the store. The copy may be handed to another goroutine.
func (s *Store) Snapshot() *Snapshot {
	snapshot := &Snapshot{Layout: costmodel.Layout, Keys: s.hashSeed, Model: s.model.State()}
	s.cache.Each(func(_ Fingerprint, shape *CachedShape) bool {
		if shape.truncated {
			snapshot.Cut++
		} else {
			snapshot.Shapes = append(snapshot.Shapes, Saved{Norm: shape.normalForm, Entry: shape.ShapeRecord})
		}
		return true
	})
	return snapshot
}

// Restore returns a store that continues from a snapshot.
func Restore(opts Options, snapshot *Snapshot) (*Store, error) {
	store, err := New(opts)
	if err != nil {
		return nil, err
	}
	if store.model, err = costmodel.Restore(opts.Decide, snapshot.Model); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrSnapshotDamaged, err)
	}
	store.hashSeed = snapshot.Keys
	for i := range snapshot.Shapes {
		saved := &snapshot.Shapes[i]
		shape := &CachedShape{ShapeRecord: saved.Entry, normalForm: saved.Norm}
		store.cache.Add(store.reader.Fingerprint(saved.Norm), shape)
	}
	return store, nil
}
