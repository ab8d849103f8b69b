package stmtstats

import (
	"unsafe"

	"flaxrelay/internal/decision/costmodel"
)

// Fingerprint identifies a shape within one Store. The seeds of the hash are drawn when the Store is created.
type Fingerprint = [2]uint64

// CachedShape is the cached record of one shape. The cache owns it; the Store updates it in place.
type CachedShape struct {
	costmodel.ShapeRecord
	normalForm string // at most maxNormalFormBytes
	truncated  bool   // normalForm is incomplete, so the shape can't be identified after a restart
}

// maxNormalFormBytes limits the part of a shape's normal form that is cached.
const maxNormalFormBytes = 1 << 10

// entryOverhead is the memory in bytes that a cache needs for each shape in addition to the shape
// itself: the eviction policy's node, the map's slot with its spare capacity, and the allocator's
// rounding.
const entryOverhead = 240

// Size returns the number of bytes that the shape adds to the size of a cache.
func (c *CachedShape) Size() int {
	return int(unsafe.Sizeof(*c)) + len(c.normalForm) + entryOverhead
}

// Cache stores shapes up to a limit in bytes. Its policy decides which shapes it evicts and which new
// shapes it rejects. It is not safe for concurrent use.
type Cache interface {
	// Get returns the shape, or nil if it is not cached.
	Get(fingerprint Fingerprint) *CachedShape
	// Add adds a shape, unless the policy rejects it.
	Add(fingerprint Fingerprint, shape *CachedShape)
	// Len returns the number of cached shapes.
	Len() int
	// Bytes returns the sum of the shapes' sizes, as CachedShape.Size counts them.
	Bytes() int
	// Each calls yield for each shape until yield returns false.
	Each(yield func(Fingerprint, *CachedShape) bool)
}
