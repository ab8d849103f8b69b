package stmtstats

import (
	"fmt"

	lru "github.com/hashicorp/golang-lru/v2"
)

// entryCache is the interface that the caches of golang-lru have in common.
type entryCache interface {
	Get(fingerprint Fingerprint) (*CachedShape, bool)
	Add(fingerprint Fingerprint, shape *CachedShape)
	Keys() []Fingerprint
	Peek(fingerprint Fingerprint) (*CachedShape, bool)
	Len() int
}

// lruCache discards the result of lru.Cache.Add, so that it implements entryCache.
type lruCache struct {
	*lru.Cache[Fingerprint, *CachedShape]
}

// Add implements entryCache.
func (c lruCache) Add(fingerprint Fingerprint, shape *CachedShape) { c.Cache.Add(fingerprint, shape) }

// entryLimitedCache is a Cache whose limit is a number of entries instead of bytes.
type entryLimitedCache struct{ entryCache }

// typicalNormalFormBytes is the length of the normal form of a typical statement.
const typicalNormalFormBytes = 120

// entriesWithin returns the number of typical shapes that fit into the given size.
func entriesWithin(bytes int) int {
	shape := CachedShape{}
	return max(bytes/(shape.Size()+typicalNormalFormBytes), 1)
}

// NewLRU returns a cache that evicts the least recently used shape. Experiments compare it with
// W-TinyLFU.
func NewLRU(bytes int) (Cache, error) {
	cache, err := lru.New[Fingerprint, *CachedShape](entriesWithin(bytes))
	if err != nil {
		return nil, fmt.Errorf("cache of shapes: %w", err)
	}
	return entryLimitedCache{lruCache{cache}}, nil
}

// New2Q returns a 2Q cache (Johnson, Shasha, "2Q: A Low Overhead High Performance Buffer
// Management Replacement Algorithm", 1994). Experiments compare it with W-TinyLFU.
func New2Q(bytes int) (Cache, error) {
	const minEntries = 2 // the queue of evicted keys has half as many entries and must not be empty
	cache, err := lru.New2Q[Fingerprint, *CachedShape](max(entriesWithin(bytes), minEntries))
	if err != nil {
		return nil, fmt.Errorf("cache of shapes: %w", err)
	}
	return entryLimitedCache{cache}, nil
}

// Get implements Cache.
func (c entryLimitedCache) Get(fingerprint Fingerprint) *CachedShape {
	shape, _ := c.entryCache.Get(fingerprint)
	return shape
}

// Bytes implements Cache.
func (c entryLimitedCache) Bytes() (total int) {
	c.Each(func(_ Fingerprint, shape *CachedShape) bool {
		total += shape.Size()
		return true
	})
	return total
}

// Each implements Cache.
func (c entryLimitedCache) Each(yield func(Fingerprint, *CachedShape) bool) {
	for _, fingerprint := range c.Keys() {
		if shape, ok := c.Peek(fingerprint); ok && !yield(fingerprint, shape) {
			return
		}
	}
}
