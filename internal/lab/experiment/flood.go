package experiment

import (
	"fmt"
	"math/rand/v2"
	"os"
	"runtime"
	"runtime/debug"

	"flaxrelay/internal/decision/costmodel"
	"flaxrelay/internal/stmtstats"
)

// FloodOptions describe a flood of shapes that never recur, mixed with recurring shapes.
type FloodOptions struct {
	Seed           uint64
	Recurring      int     // number of shapes that recur
	OneOff         int     // number of shapes that occur once
	RecurringShare float64 // share of the statements that have recurring shapes
	CacheBytes     int     // limit of the cache
}

// FloodResult is the result for one cache.
type FloodResult struct {
	Lookups      int     // statements of recurring shapes in the second half, which is evaluated
	HitRate      float64 // share of these lookups whose shape was cached
	CachedShapes int     // shapes in the cache at the end
	CountedBytes int     // bytes in the cache at the end, as the cache counts them
	HeapBytes    int     // growth of the reachable heap
	RSSBytes     int     // resident memory of the process at the end; 0: unknown
}

// ShapeCache is a kind of cache for statement shapes.
type ShapeCache struct {
	Name string
	open func(maxBytes int) (stmtstats.Cache, error)
}

// TinyLFU returns the kind of cache that flaxrelay uses.
func TinyLFU() ShapeCache { return ShapeCache{"w-tinylfu", stmtstats.NewTinyLFU} }

// LRU returns a kind of cache to compare with TinyLFU.
func LRU() ShapeCache { return ShapeCache{"lru", stmtstats.NewLRU} }

// TwoQueue returns a kind of cache to compare with TinyLFU.
func TwoQueue() ShapeCache { return ShapeCache{"2q", stmtstats.New2Q} }

const floodStream = 0x666c6f6f64 // second word of the PCG seed, different for each use of a seed

// The cost of every statement of the flood.
const (
	floodWorkMS   = 200
	floodMemoryMB = 10
)

// Flood runs a flood of statements through a new cache of the given kind.
func Flood(kind ShapeCache, opts FloodOptions) (FloodResult, error) {
	before := heapInUse()
	cache, err := kind.open(opts.CacheBytes)
	if err != nil {
		return FloodResult{}, err
	}
	store, err := stmtstats.New(stmtstats.Options{CostModel: costmodel.Config{}, Cache: cache})
	if err != nil {
		return FloodResult{}, err
	}
	result := runFlood(store, opts)
	result.CachedShapes = store.Len()
	result.CountedBytes = store.Bytes()
	result.HeapBytes = heapInUse() - before
	debug.FreeOSMemory()
	result.RSSBytes = residentBytes(os.Getpid())
	runtime.KeepAlive(store)
	return result, nil
}

// runFlood runs the statements through the store. It returns the lookups and the hit rate of the second
// half, and leaves the other figures at 0.
func runFlood(store *stmtstats.Store, opts FloodOptions) (result FloodResult) {
	// Popularity of the recurring shapes, by Zipf's law: the k-th has a weight of (offset + k)^-exponent.
	const (
		exponent = 1.3
		offset   = 10
	)
	random := rand.New(rand.NewPCG(opts.Seed, floodStream))
	popularity := rand.NewZipf(random, exponent, offset, uint64(opts.Recurring-1))
	total := int(float64(opts.OneOff) / (1 - opts.RecurringShare))
	warmUp := total / 2
	hits := 0
	for i := range total {
		recurring := random.Float64() < opts.RecurringShare
		var text string
		if recurring {
			text = recurringText(int(popularity.Uint64()))
		} else {
			text = oneOffText(i, random.Uint32())
		}
		statement := store.Parse(text)
		hitsBefore := store.Stats.Hits
		execution := store.Estimate(statement, nil, costmodel.NoClass, stmtstats.Hint{})
		if recurring && i >= warmUp {
			result.Lookups++
			hits += int(store.Stats.Hits - hitsBefore)
		}
		store.Learn(execution, costmodel.Observation{WorkMillis: floodWorkMS, MemoryMB: floodMemoryMB})
	}
	result.HitRate = float64(hits) / float64(max(result.Lookups, 1))
	return result
}

// recurringText returns a statement of the n-th recurring shape. Each shape has a different column list.
func recurringText(n int) string {
	const (
		columns = 17 // the pairs of a column c and a column d give many lists from few columns
		groups  = 30
	)
	return fmt.Sprintf("SELECT part, c%d, d%d FROM stock_%d.orders WHERE part = 'p-%05d' AND e%d > 4",
		n%columns, n/columns, 1+n%groups, n, n)
}

// oneOffText returns a statement of a shape that does not recur.
func oneOffText(n int, salt uint32) string {
	return fmt.Sprintf("SELECT t_%d.n FROM stock_3.scratch_%d t_%d WHERE t_%d.part = 'p-1'", n, salt, n, n)
}

// heapInUse returns the size of the reachable heap in bytes.
func heapInUse() int {
	// Objects with a finalizer are not freed before the second collection.
	runtime.GC() //nolint:revive // the measurement is of reachable memory
	runtime.GC() //nolint:revive // see above
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int(stats.HeapAlloc)
}
