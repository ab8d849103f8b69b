package soak

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"flaxrelay/internal/golden"
	"flaxrelay/internal/lab/syscallfault"
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

// The variable settings of a run are drawn first, from its seed.
func TestDrawRunSettings_FollowsFromTheSeed(t *testing.T) {
	var got []runSettings
	for seed := range uint64(4) {
		got = append(got, drawRunSettings(seeded(seed)))
	}
	want := []runSettings{
		{cancel: true, retryAfter: true, deduplicationWindow: 2717 * ms},
		{cancel: true, retryAfter: true, deduplicationWindow: 5318 * ms},
		{cancel: false, retryAfter: true, deduplicationWindow: 4080 * ms},
		{cancel: false, retryAfter: false, deduplicationWindow: 1055 * ms},
	}
	if !slices.Equal(got, want) {
		t.Errorf("the settings are %+v, want %+v", got, want)
	}
}

// The faults of a proxy follow from the random numbers of the run.
func TestDrawProxyOptions_FollowsFromTheSeed(t *testing.T) {
	r := &run{options: Options{Duration: 12 * time.Second}, random: seeded(7)}
	var text strings.Builder
	for range 3 {
		fmt.Fprintf(&text, "%+v\n", r.drawProxyOptions())
	}
	golden.Compare(t, "testdata/proxies-7.golden", []byte(text.String()))
}

// A fault claims a member that no other fault has claimed, and a reserve of members is never claimed.
func TestPool_ClaimsFreeMembersAndKeepsAReserve(t *testing.T) {
	frontEnds := newPool[string](frontEndReserveDivisor)
	engines := newPool[string](engineReserveDivisor)
	for i := range 6 {
		frontEnds.add(fmt.Sprintf("n%d", i))
		engines.add(fmt.Sprintf("s-%08x", i))
	}
	random := seeded(3)
	claim := func(p *pool[string]) string {
		if member, ok := p.claim(random); ok {
			return member
		}
		return "none"
	}
	var got []string
	for range 4 {
		got = append(got, claim(frontEnds))
	}
	for range 5 {
		got = append(got, claim(engines))
	}
	for _, member := range frontEnds.all() {
		frontEnds.release(member)
	}
	for _, member := range engines.all() {
		engines.release(member)
	}
	got = append(got, claim(frontEnds), claim(engines))
	want := []string{
		"n1", "n3", "n4", "none",
		"s-00000003", "s-00000004", "s-00000001", "s-00000005", "none",
		"n2", "s-00000005",
	}
	if !slices.Equal(got, want) {
		t.Errorf("claimed %q, want %q", got, want)
	}
}

// A successor replaces the member at its position, and can be claimed.
func TestPool_ReplacesAClaimedMember(t *testing.T) {
	p := newPool[string](engineReserveDivisor)
	for _, member := range []string{"a", "b", "c"} {
		p.add(member)
	}
	claimed, _ := p.claim(seeded(1))
	p.replace(claimed, "d")
	want := []string{"a", "b", "c"}
	want[slices.Index(want, claimed)] = "d"
	if got := p.all(); !slices.Equal(got, want) {
		t.Errorf("the members are %q, want %q", got, want)
	}
	for range 2 {
		if _, ok := p.claim(seeded(1)); !ok {
			t.Error("the successor counts as claimed")
		}
	}
}

// Each fault draws its parameters from the random numbers of its seed, in the same order.
func TestFaults_DrawTheirParametersFromTheSeed(t *testing.T) {
	for seed, want := range []struct {
		restart           engineRestart
		replacement       engineReplacement
		freezeTime        time.Duration
		busFaultTime      time.Duration
		systemCalls       syscallfault.Faults
		systemCallsFailed time.Duration
	}{
		{
			restart:      engineRestart{downtime: 178124971, notificationDelay: 405435246},
			replacement:  engineReplacement{drainTime: 1445312429},
			freezeTime:   967968643,
			busFaultTime: 645312429,
			systemCalls: syscallfault.Faults{
				InterruptWrite: 0.11444325831346465, ShortRead: 0.13325177863294455, InterruptWait: 0.20308591404695064,
				FailAccept: 0.295516845034011, FailSocket: 0.15795676316816315, FailConnect: 0.13725269975381013,
				FailFile: 0.24861597867934546, ShortLength: 67,
			},
			systemCallsFailed: 588057985,
		},
		{
			restart:      engineRestart{downtime: 797789174, notificationDelay: 61497057, clockStep: time.Hour},
			replacement:  engineReplacement{drainTime: 2994472935, clockStep: time.Hour},
			freezeTime:   3291709403,
			busFaultTime: 2194472935,
			systemCalls: syscallfault.Faults{
				InterruptWrite: 0.24863545692312816, InterruptRead: 0.2858516086095335, FailAccept: 0.17605996152266057,
				FailConnect: 0.1487918892338335, FailFile: 0.210409202609982, TornFile: 0.16469024103266985,
				ShortLength: 10,
			},
			systemCallsFailed: 1020294967,
		},
		{
			restart:      engineRestart{downtime: 152374332, notificationDelay: 595347738, clockStep: -5 * time.Second},
			replacement:  engineReplacement{drainTime: 1380935831, newAddress: true},
			freezeTime:   871403746,
			busFaultTime: 580935831,
			systemCalls: syscallfault.Faults{
				ShortWrite: 0.03608437566139531, ShortRead: 0.2423985255425321, FailAccept: 0.10593695354016122,
				FailConnect: 0.20866948939892985, ShortLength: 71,
			},
			systemCallsFailed: 1096419587,
		},
	} {
		got := want
		got.restart = drawEngineRestart(seeded(uint64(seed)))
		got.replacement = drawEngineReplacement(seeded(uint64(seed)))
		got.freezeTime = drawFreezeTime(seeded(uint64(seed)))
		got.busFaultTime = drawBusFaultTime(seeded(uint64(seed)))
		got.systemCalls, got.systemCallsFailed = drawSystemCallFaults(seeded(uint64(seed)))
		if got != want {
			t.Errorf("seed %d: drawn are %+v, want %+v", seed, got, want)
		}
	}
}

// Faults between those of the schedule are rare, except for faults of files.
func TestBackgroundFaults_AreRare(t *testing.T) {
	want := syscallfault.Faults{
		ShortWrite: 0.01, InterruptWrite: 0.01, ShortRead: 0.01, InterruptRead: 0.01, FailFile: 0.2, TornFile: 0.2,
	}
	if got := backgroundFaults(); got != want {
		t.Errorf("the faults are %+v, want %+v", got, want)
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

// The configuration of a front end contains the settings that the checker assumes, and the engines that
// are not removed.
func TestFrontEndConfig_ContainsSettingsAndEngines(t *testing.T) {
	bus, err := newEventBus()
	if err != nil {
		t.Fatal(err)
	}
	defer bus.close()
	bus.publish(endpoint{id: 7, addr: netip.MustParseAddrPort("127.0.0.1:7"), state: stateDraining, bootMS: 42})
	bus.publish(endpoint{id: 8, addr: netip.MustParseAddrPort("127.0.0.1:8"), state: stateRemoved})
	r := &run{bus: bus, settings: runSettings{cancel: true, deduplicationWindow: 1234 * ms}}
	f := &frontEnd{run: r, name: "n1", addr: "127.0.0.1:1", configPath: filepath.Join(t.TempDir(), "config")}
	r.frontEnds = make([]*frontEnd, 6)
	if err := f.writeConfig(0xab); err != nil {
		t.Fatal(err)
	}
	config, err := os.ReadFile(f.configPath)
	if err != nil {
		t.Fatal(err)
	}
	var decoded map[string]any // sorts the keys
	if err := json.Unmarshal(config, &decoded); err != nil {
		t.Fatal(err)
	}
	if decoded["bus"] != bus.addr() {
		t.Errorf("the bus is %v, want %s", decoded["bus"], bus.addr())
	}
	decoded["bus"] = "BUS"
	text, err := json.MarshalIndent(decoded, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, "testdata/config.golden", append(text, '\n'))
}
