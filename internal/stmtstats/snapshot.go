package stmtstats

import (
	"errors"
	"fmt"

	"flaxrelay/internal/decision/costmodel"
)

// Reasons why a snapshot can't be used.
var (
	// ErrSnapshotForeign means that the file does not start with the magic bytes of a snapshot.
	ErrSnapshotForeign = errors.New("the file is no snapshot of shapes")
	// ErrSnapshotVersion means that this version of the program can't read the format or the layout.
	ErrSnapshotVersion = errors.New("the version of the snapshot is not supported")
	// ErrSnapshotTruncated means that bytes are missing at the end.
	ErrSnapshotTruncated = errors.New("the snapshot is truncated")
	// ErrSnapshotDamaged means that the contents are invalid.
	ErrSnapshotDamaged = errors.New("the snapshot is damaged")
)

// Snapshot is the state of a Store in a form that can be stored. It contains no fingerprints, because
// their seeds differ between stores: Restore computes them again.
type Snapshot struct {
	Layout    int              `cbor:"1,keyasint"`
	HashSeed  uint64           `cbor:"2,keyasint"` // seed of the hashes of values
	Model     *costmodel.State `cbor:"3,keyasint"`
	Shapes    []SavedShape     `cbor:"4,keyasint"`
	Truncated int              `cbor:"5,keyasint"` // number of shapes left out because their normal forms are truncated
}

// SavedShape is one shape of a Snapshot.
type SavedShape struct {
	NormalForm string                `cbor:"1,keyasint"` // the complete normal form
	Record     costmodel.ShapeRecord `cbor:"2,keyasint"`
}

// Snapshot copies the state of the store. The copy may be used in another goroutine.
func (s *Store) Snapshot() *Snapshot {
	snapshot := &Snapshot{Layout: costmodel.Layout, HashSeed: s.hashSeed, Model: s.model.State()}
	s.cache.Each(func(_ Fingerprint, shape *CachedShape) bool {
		if shape.truncated {
			snapshot.Truncated++
			return true
		}
		saved := SavedShape{NormalForm: shape.normalForm, Record: shape.ShapeRecord}
		snapshot.Shapes = append(snapshot.Shapes, saved)
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
	model, err := costmodel.Restore(opts.CostModel, snapshot.Model)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrSnapshotDamaged, err)
	}
	store.model = model
	store.hashSeed = snapshot.HashSeed
	for i := range snapshot.Shapes {
		saved := &snapshot.Shapes[i]
		shape := &CachedShape{ShapeRecord: saved.Record, normalForm: saved.NormalForm}
		store.cache.Add(store.analyzer.Fingerprint(saved.NormalForm), shape)
	}
	return store, nil
}
