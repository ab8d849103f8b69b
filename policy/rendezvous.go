package policy

import "slices"

const fnvPrime = 0x100000001b3 // 64-bit FNV

// The increment and multipliers of SplitMix64, which spread the bits of a hash.
const (
	splitMixIncrement   = 0x9e3779b97f4a7c15
	splitMixMultiplier1 = 0xbf58476d1ce4e5b9
	splitMixMultiplier2 = 0x94d049bb133111eb
)

// hashID hashes an engine's id for affinity.
func hashID(id string) uint64 {
	hash := uint64(0)
	for _, b := range []byte(id) {
		hash = (hash ^ uint64(b)) * fnvPrime
	}
	return hash
}

// affinity is the rendezvous hash of an engine and a data set. All balancers
// compute the same score, so they agree on the order of engines for a data set.
func affinity(engineHash uint64, dataset int64) uint64 {
	mixed := (engineHash ^ uint64(dataset)*splitMixIncrement) * splitMixMultiplier1
	return (mixed ^ mixed>>29) * splitMixMultiplier2
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
