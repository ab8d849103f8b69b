package stmtstats

import (
	"fmt"

	"github.com/maypok86/otter/v2"
)

// tinyLFU admits a new shape only if it was requested more often than the shape that it would
// evict (Einziger, Friedman, Manes, "TinyLFU: A Highly Efficient Cache Admission Policy",
// 2017). A flood of shapes that occur once therefore does not evict recurring shapes.
type tinyLFU struct {
	*otter.Cache[Fingerprint, *CachedShape]
}

// NewTinyLFU returns a W-TinyLFU cache of the given size in bytes. Its maintenance runs in the
// goroutine of the caller.
func NewTinyLFU(bytes int) (Cache, error) {
	cache, err := otter.New(&otter.Options[Fingerprint, *CachedShape]{
		MaximumWeight: uint64(bytes),
		Weigher:       func(_ Fingerprint, shape *CachedShape) uint32 { return uint32(shape.Size()) },
		Executor:      func(task func()) { task() },
	})
	if err != nil {
		return nil, fmt.Errorf("cache of shapes: %w", err)
	}
	return tinyLFU{cache}, nil
}

// Get implements Cache.
func (c tinyLFU) Get(fingerprint Fingerprint) *CachedShape {
	shape, _ := c.GetIfPresent(fingerprint)
	return shape
}

// Add implements Cache.
func (c tinyLFU) Add(fingerprint Fingerprint, shape *CachedShape) { c.Set(fingerprint, shape) }

// Len implements Cache.
func (c tinyLFU) Len() int { return c.EstimatedSize() }

// Bytes implements Cache.
func (c tinyLFU) Bytes() int {
	c.CleanUp() // until then, the size includes entries whose eviction is pending
	return int(c.WeightedSize())
}

// Each implements Cache.
func (c tinyLFU) Each(yield func(Fingerprint, *CachedShape) bool) {
	c.CleanUp()
	for fingerprint, shape := range c.All() {
		if !yield(fingerprint, shape) {
			return
		}
	}
}
