package soak

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"flaxrelay/internal/golden"
)

func seeded(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, seed)) }

// The faults of a run, their times and the first number that each draws follow from the seed.
func TestSchedule_FollowsFromTheSeed(t *testing.T) {
	const duration = 12 * time.Second
	kinds := slices.Clone(troubles)
	t.Cleanup(func() { copy(troubles, kinds) })
	var names []string
	for _, kind := range kinds {
		names = append(names, kind.name)
	}
	want := []string{
		"terminate a front end", "kill a front end", "restart an engine", "replace an engine", "replace an engine",
		"freeze an engine", "move the bus", "bus down", "bus silent", "bus torn", "failing system calls",
		"failing system calls", "step a front end's clock",
	}
	if !slices.Equal(names, want) {
		t.Errorf("the kinds are %q, want %q", names, want)
	}
	for _, seed := range []uint64{1, 4242} {
		synctest.Test(t, func(t *testing.T) {
			var mu sync.Mutex
			var played strings.Builder
			startedAt := time.Now()
			for i := range troubles {
				troubles[i].play = func(_ *run, random *rand.Rand) {
					mu.Lock()
					defer mu.Unlock()
					at := time.Since(startedAt).Microseconds()
					_, _ = fmt.Fprintf(&played, "at %d us kind %d, first draw %d\n", at, i, random.Uint64())
				}
			}
			r := &run{played: map[string]int{}}
			stop := make(chan struct{})
			time.AfterFunc(duration, func() { close(stop) })
			r.playTroubles(rand.New(rand.NewPCG(seed, 0)), stop)
			r.troubles.Wait()
			golden.Compare(t, fmt.Sprintf("testdata/schedule-%d.golden", seed), []byte(played.String()))
		})
	}
}

// The variable settings of a run are drawn first, from its seed.
func TestDrawSite_FollowsFromTheSeed(t *testing.T) {
	var got []siteOptions
	for seed := range uint64(4) {
		got = append(got, drawSite(seeded(seed)))
	}
	want := []siteOptions{
		{cancel: true, retryAfter: true, dedupMS: 2717},
		{cancel: true, retryAfter: true, dedupMS: 5318},
		{cancel: false, retryAfter: true, dedupMS: 4080},
		{cancel: false, retryAfter: false, dedupMS: 1055},
	}
	if !slices.Equal(got, want) {
		t.Errorf("the settings are %+v, want %+v", got, want)
	}
}

// The faults of a proxy follow from the random numbers of the run.
func TestProxyOptions_FollowFromTheSeed(t *testing.T) {
	r := &run{options: Options{Duration: 12 * time.Second}, random: seeded(7)}
	var text strings.Builder
	for range 3 {
		fmt.Fprintf(&text, "%+v\n", r.proxyOptions())
	}
	golden.Compare(t, "testdata/proxies-7.golden", []byte(text.String()))
}

// A fault claims a front end or an engine that no other fault has, and leaves some alone.
func TestClaim_TakesFreeMembersAndLeavesSome(t *testing.T) {
	r := &run{}
	for i := range 6 {
		r.frontEnds = append(r.frontEnds, &frontEnd{name: fmt.Sprintf("n%d", i)})
		r.engines = append(r.engines, &engine{entry: listEntry{id: uint32(i)}})
	}
	random := seeded(3)
	var got []string
	for range 4 {
		f := r.claimFrontEnd(random)
		if f == nil {
			got = append(got, "none")
			continue
		}
		got = append(got, f.name)
	}
	for range 5 {
		e := r.claimEngine(random)
		if e == nil {
			got = append(got, "none")
			continue
		}
		got = append(got, e.name())
	}
	for _, f := range r.frontEnds {
		r.releaseFrontEnd(f)
	}
	for _, e := range r.engines {
		r.releaseEngine(e)
	}
	got = append(got, r.claimFrontEnd(random).name, r.claimEngine(random).name())
	want := []string{
		"n1", "n3", "n4", "none",
		"s-00000003", "s-00000004", "s-00000001", "s-00000005", "none",
		"n2", "s-00000005",
	}
	if !slices.Equal(got, want) {
		t.Errorf("claimed %q, want %q", got, want)
	}
}

// The requests of a client follow from the run's seed and its number.
func TestNewRequest_FollowsFromTheSeed(t *testing.T) {
	c := &client{run: &run{options: Options{Seed: 0x12345}}, number: 3, random: rand.New(rand.NewPCG(0x12345, 4))}
	var text strings.Builder
	for range 6 {
		r, sent := c.newRequest()
		fmt.Fprintf(&text, "%s %s %v\n%s\n\n", r.id, r.class, r.wait, sent)
	}
	golden.Compare(t, "testdata/requests.golden", []byte(text.String()))
}

// The configuration of a front end holds the settings that the checker assumes, and the engines that
// are not gone.
func TestConfigOf_NamesAllSettings(t *testing.T) {
	bus := &eventBus{entries: map[uint32]listEntry{}, changed: make(chan struct{})}
	bus.tell(listEntry{id: 7, addr: netip.MustParseAddrPort("127.0.0.1:7"), state: stateDraining, bootMS: 42})
	bus.tell(listEntry{id: 8, addr: netip.MustParseAddrPort("127.0.0.1:8"), state: stateGone})
	listener, err := newEventBus()
	if err != nil {
		t.Fatal(err)
	}
	defer listener.close()
	bus.listener = listener.listener
	config := configOf("n1", "127.0.0.1:1", 0xab, siteOptions{cancel: true, dedupMS: 1234}, 6, bus)
	var decoded map[string]any // sorts the keys
	if err := json.Unmarshal(config, &decoded); err != nil {
		t.Fatal(err)
	}
	decoded["bus"] = "BUS"
	text, err := json.MarshalIndent(decoded, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, "testdata/config.golden", append(text, '\n'))
}
