package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"flaxrelay/internal/golden"
)

func seeded(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, seed)) }

// The seed determines the faults of a run, their times and the first number that each fault draws.
func TestSchedule_FollowsFromTheSeed(t *testing.T) {
	const duration = 12 * time.Second
	kinds := slices.Clone(faultKinds)
	t.Cleanup(func() { copy(faultKinds, kinds) })
	var names []string
	for _, kind := range kinds {
		names = append(names, kind.name)
	}
	want := []string{
		"terminate a front end", "kill a front end", "restart an engine", "replace an engine", "replace an engine",
		"freeze an engine", "move the bus", "bus down", "bus silent", "bus event truncated", "failing system calls",
		"failing system calls", "step a front end's clock",
	}
	if !slices.Equal(names, want) {
		t.Errorf("the kinds are %q, want %q", names, want)
	}
	for _, seed := range []uint64{1, 4242} {
		synctest.Test(t, func(t *testing.T) {
			var mu sync.Mutex
			var injected strings.Builder
			startedAt := time.Now()
			for i := range faultKinds {
				faultKinds[i].inject = func(_ *run, random *rand.Rand) error {
					mu.Lock()
					defer mu.Unlock()
					at := time.Since(startedAt).Microseconds()
					_, _ = fmt.Fprintf(&injected, "at %d us kind %d, first draw %d\n", at, i, random.Uint64())
					return nil
				}
			}
			r := &run{faultCounts: map[string]int{}}
			stop := make(chan struct{})
			time.AfterFunc(duration, func() { close(stop) })
			r.injectFaults(rand.New(rand.NewPCG(seed, scheduleStream)), stop)
			r.faults.Wait()
			golden.Compare(t, fmt.Sprintf("testdata/schedule-%d.golden", seed), []byte(injected.String()))
		})
	}
}
