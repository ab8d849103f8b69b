package policy

import (
	"math"
	"slices"
)

const (
	datasetSpread    = 2.0 // engines near a data set, for each engine that its traffic would fill
	popularityWindow = 256 // requests over which the popularity of data sets is counted

	// Popularity starts from an even distribution: as if each of priorDatasets data sets had been requested
	// datasetPrior times.
	datasetPrior  = 2.0
	priorDatasets = 10
)

const fnvPrime = 0x100000001b3 // of 64-bit FNV

// Constants that spread the bits of a hash: the increment and multipliers of SplitMix64, with one shift.
const (
	splitMixIncrement   = 0x9e3779b97f4a7c15
	splitMixMultiplier1 = 0xbf58476d1ce4e5b9
	splitMixMultiplier2 = 0x94d049bb133111eb
	affinityShift       = 29
)

// datasetAffinity decides which engines are near a data set, that is cache its tables: by rendezvous
// hashing, so that all front ends agree, and more engines the more popular the data set is.
type datasetAffinity struct {
	zone       string
	popularity decayingCounter
	scores     []uint64 // scratch space of cutoff
}

func newDatasetAffinity(zone string) datasetAffinity {
	return datasetAffinity{zone: zone, popularity: newDecayingCounter()}
}

// observe counts a request of the data set.
func (d *datasetAffinity) observe(dataset int64) { d.popularity.add(dataset, popularityWindow) }

// cutoff returns the least affinity that counts as near the data set, among the available engines of
// the zone: one engine, and more in proportion to the data set's popularity, so that a popular one
// doesn't crowd a few.
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

// affinity is the rendezvous hash of an engine and a data set. All front ends
// compute the same score, so they agree on the order of engines for a data set.
func affinity(engineHash uint64, dataset int64) uint64 {
	mixed := (engineHash ^ uint64(dataset)*splitMixIncrement) * splitMixMultiplier1
	return (mixed ^ mixed>>affinityShift) * splitMixMultiplier2
}

// nthHighest returns the nth highest score, counted from one, or zero where there
// are fewer. It sorts the scores.
func nthHighest(scores []uint64, n int) uint64 {
	if n > len(scores) {
		return 0
	}
	slices.Sort(scores)
	return scores[len(scores)-n]
}
