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

// FloodOptions describe a flood: statements whose shapes occur only once, mixed with statements of recurring
// shapes.
type FloodOptions struct {
	Seed           uint64
	Recurring      int     // number of shapes that recur
	OneOff         int     // number of shapes that occur once
	RecurringShare float64 // share of the statements with a recurring shape
	CacheBytes     int     // limit of the cache
}

// FloodResult is the result for one cache.
type FloodResult struct {
	Lookups      int     // number of statements with a recurring shape in the second half of the flood
	HitRate      float64 // share of these lookups whose shape was cached
	CachedShapes int     // shapes in the cache at the end
	CountedBytes int     // bytes in the cache at the end, as the cache counts them
	HeapBytes    int     // growth of the reachable heap during the flood
	RSSBytes     int     // resident memory of the process at the end; 0: unknown
}

// ShapeCache is a kind of cache for statement shapes.
type ShapeCache struct {
	Name string
	open func(maxBytes int) (stmtstats.Cache, error)
}

// TinyLFU returns the kind of cache that flaxrelay uses.
func TinyLFU() ShapeCache { return ShapeCache{"w-tinylfu", stmtstats.NewTinyLFU} }

// LRU returns the least-recently-used kind of cache, for a comparison with TinyLFU.
func LRU() ShapeCache { return ShapeCache{"lru", stmtstats.NewLRU} }

// TwoQueue returns the 2Q kind of cache, for a comparison with TinyLFU.
func TwoQueue() ShapeCache { return ShapeCache{"2q", stmtstats.New2Q} }

const floodStream = 0x666c6f6f64 // second word of the PCG seed, different for each use of a seed

// The cost of every statement of the flood.
const (
	floodWorkMS   = 200
	floodMemoryMB = 10
)

// Flood measures how a new cache of the given kind handles a flood.
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

// runFlood estimates and learns each statement of the flood. It returns the lookups and the hit rate of the second
// half, and leaves the other fields at 0.
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
		columns = 17 // each pair of a column c and a column d is another list
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
