package stmtstats

import (
	"fmt"
	"math/rand/v2"

	"flaxrelay/internal/decision/costmodel"
	"flaxrelay/internal/sqltext"
)

// Options configures a Store.
type Options struct {
	CostModel costmodel.Config
	MaxBytes  int   // limit of the cache's size including its overhead; at least minBytes; ignored if Cache is set
	Cache     Cache // nil: a W-TinyLFU cache of MaxBytes
}

// minBytes is the minimum cache size, which is enough for a few dozen shapes.
const minBytes = 64 << 10

// Store estimates executions of statements and learns from their costs. It owns the cost model and the
// cache of shapes. It is not safe for concurrent use.
type Store struct {
	analyzer *sqltext.Analyzer
	model    *costmodel.Model
	cache    Cache
	hashSeed uint64 // seed of the hashes of values
	Stats    Stats
}

// Stats counts the events of a Store.
type Stats struct {
	Hits    uint64 // executions whose shape was cached
	Misses  uint64 // executions whose shape was not cached
	Learned uint64 // executions whose cost was learned
}

// New returns a store without statistics.
func New(opts Options) (*Store, error) {
	if opts.MaxBytes < minBytes && opts.Cache == nil {
		return nil, fmt.Errorf("cache of shapes: %d bytes, want at least %d", opts.MaxBytes, minBytes)
	}
	store := &Store{
		analyzer: sqltext.NewAnalyzer(),
		model:    costmodel.New(opts.CostModel),
		cache:    opts.Cache,
		hashSeed: rand.Uint64(),
	}
	if store.cache == nil {
		cache, err := NewTinyLFU(opts.MaxBytes)
		if err != nil {
			return nil, err
		}
		store.cache = cache
	}
	return store, nil
}

// Len returns the number of cached shapes.
func (s *Store) Len() int { return s.cache.Len() }

// Bytes returns the size of the cached shapes, as CachedShape.Size counts it.
func (s *Store) Bytes() int { return s.cache.Bytes() }
