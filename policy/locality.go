package policy

import (
	"math"
	"slices"
)

const (
	datasetSpread    = 2.0 // engines near a data set, as a multiple of the engines that its traffic occupies
	popularityWindow = 256 // requests over which the popularity of data sets is counted

	// Popularity starts from an even distribution, as if each of priorDatasets data sets had been requested
	// datasetPrior times.
	datasetPrior  = 2.0
	priorDatasets = 10
)

const fnvPrime = 0x100000001b3 // of 64-bit FNV

// Constants of the hash that mixes an engine and a data set: the increment and the multipliers of SplitMix64,
// and a shift.
const (
	splitMixIncrement   = 0x9e3779b97f4a7c15
	splitMixMultiplier1 = 0xbf58476d1ce4e5b9
	splitMixMultiplier2 = 0x94d049bb133111eb
	affinityShift       = 29
)

// datasetAffinity decides which engines are near a data set, that is, cache its tables. It uses rendezvous
// hashing, so that all front ends agree. The more popular a data set is, the more engines are near it.
type datasetAffinity struct {
	zone       string
	popularity decayingCounter
	scores     []uint64 // reused by each call of cutoff
}

func newDatasetAffinity(zone string) datasetAffinity {
	return datasetAffinity{zone: zone, popularity: newDecayingCounter()}
}

// observe counts a request for the data set.
func (d *datasetAffinity) observe(dataset int64) { d.popularity.add(dataset, popularityWindow) }

// cutoff returns the lowest affinity at which an available engine of the zone counts as near the data set.
// One engine is near, plus a number in proportion to the data set's popularity, so that a popular data set
// does not overload a few engines.
func (d *datasetAffinity) cutoff(engines []*engine, dataset int64) uint64 {
	d.scores = d.scores[:0]
	for _, e := range engines {
		if e.zone == d.zone && e.available() {
			d.scores = append(d.scores, affinity(e.idHash, dataset))
		}
	}
	share := (d.popularity.count(dataset) + datasetPrior) / (d.popularity.total + priorDatasets*datasetPrior)
	near := 1 + int(math.Ceil(datasetSpread*share*float64(len(d.scores))))
	return nthHighest(d.scores, near)
}

// hashID hashes an engine's id for affinity: FNV-1a without its offset basis.
func hashID(id string) uint64 {
	hash := uint64(0)
	for _, b := range []byte(id) {
		hash = (hash ^ uint64(b)) * fnvPrime
	}
	return hash
}

// affinity returns the rendezvous hash of an engine and a data set. All front ends compute the same value, so
// they agree on the order of engines for a data set.
func affinity(engineHash uint64, dataset int64) uint64 {
	mixed := (engineHash ^ uint64(dataset)*splitMixIncrement) * splitMixMultiplier1
	return (mixed ^ mixed>>affinityShift) * splitMixMultiplier2
}

// nthHighest returns the nth highest score, counted from one, or zero if there are fewer than n. It sorts the
// scores in place.
func nthHighest(scores []uint64, n int) uint64 {
	if n > len(scores) {
		return 0
	}
	slices.Sort(scores)
	return scores[len(scores)-n]
}
