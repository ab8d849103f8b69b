package policy

// affinity scores an engine for a data set. All front ends compute the same
// score, so they agree on the order of engines for a data set.
func affinity(engineHash uint64, dataset int64) uint64 {
	x := (engineHash ^ uint64(dataset)*0x9e3779b97f4a7c15) * 0xbf58476d1ce4e5b9
	return (x ^ x>>29) * 0x94d049bb133111eb
}
