package workload

import "math"

// access describes the execution of a statement by the number of rows in each step.
type access struct {
	indexed  float64 // read through an index
	scanned  float64 // read sequentially
	joined   float64
	sorted   float64
	grouped  float64
	returned float64
}

// Unit costs in milliseconds on one core. They result in a median work of about 120 ms for lookups and
// 2.7 s for reports.
const (
	baseMS        = 110
	indexedRowMS  = 0.03
	scannedRowMS  = 0.014
	joinedRowMS   = 0.006
	sortedRowMS   = 0.0003 // times the binary logarithm of the rows
	groupedRowMS  = 0.004
	returnedRowMS = 0.004
)

// uncachedShare is the share of the statements whose data set is not in the engine's memory. The work of
// these statements is multiplied by uncachedFactor.
const (
	uncachedShare  = 0.15
	uncachedFactor = 1.5
)

// workMS returns the work of the access in milliseconds on one core.
func (a access) workMS() float64 {
	work := baseMS + indexedRowMS*a.indexed + scannedRowMS*a.scanned + joinedRowMS*a.joined +
		groupedRowMS*a.grouped + returnedRowMS*a.returned
	if a.sorted > 1 {
		work += sortedRowMS * a.sorted * math.Log2(a.sorted)
	}
	return work
}
