package policy

import (
	"fmt"
	"testing"
)

func TestAffinity_MovesNoDatasetBetweenRemainingEngines(t *testing.T) {
	const engines, datasets = 10, 1000
	nearest := func(count int, dataset int64) (best int) {
		highest := uint64(0)
		for i := range count {
			if score := affinity(hashID(fmt.Sprint("engine-", i)), dataset); score >= highest {
				best = i
				highest = score
			}
		}
		return best
	}
	perEngine := make([]int, engines)
	for dataset := range int64(datasets) {
		before := nearest(engines, dataset)
		after := nearest(engines-1, dataset)
		if before < engines-1 && before != after {
			t.Errorf("data set %d moved from engine %d to %d when another was removed", dataset, before, after)
		}
		perEngine[before]++
	}
	for i, count := range perEngine {
		if count < datasets/engines/2 || count > datasets/engines*2 {
			t.Errorf("engine %d is nearest to %d of %d data sets", i, count, datasets)
		}
	}
}

func TestNthHighest_CountsFromOne(t *testing.T) {
	for _, c := range []struct {
		n    int
		want uint64
	}{{1, 9}, {2, 7}, {3, 3}, {4, 0}} {
		if got := nthHighest([]uint64{7, 3, 9}, c.n); got != c.want {
			t.Errorf("number %d is %d, want %d", c.n, got, c.want)
		}
	}
}
