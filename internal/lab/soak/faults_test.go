package soak

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"flaxrelay/internal/golden"
	"flaxrelay/internal/lab/syscallfault"
)

// Each fault draws its parameters from the random numbers of its seed, in a fixed order.
func TestFaults_DrawTheirParametersFromTheSeed(t *testing.T) {
	for seed, want := range []struct {
		restart             engineRestart
		replacement         engineReplacement
		freezeTime          time.Duration
		busFaultTime        time.Duration
		systemCalls         syscallfault.Faults
		systemCallFaultTime time.Duration
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
			systemCallFaultTime: 588057985,
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
			systemCallFaultTime: 1020294967,
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
			systemCallFaultTime: 1096419587,
		},
	} {
		got := want
		got.restart = drawEngineRestart(seeded(uint64(seed)))
		got.replacement = drawEngineReplacement(seeded(uint64(seed)))
		got.freezeTime = drawFreezeTime(seeded(uint64(seed)))
		got.busFaultTime = drawBusFaultTime(seeded(uint64(seed)))
		got.systemCalls, got.systemCallFaultTime = drawSystemCallFaults(seeded(uint64(seed)))
		if got != want {
			t.Errorf("seed %d: drew %+v, want %+v", seed, got, want)
		}
	}
}

// Faults of system calls are rare while no scheduled fault changes them, except for faults of files.
func TestBackgroundFaults_AreRare(t *testing.T) {
	want := syscallfault.Faults{
		ShortWrite: 0.01, InterruptWrite: 0.01, ShortRead: 0.01, InterruptRead: 0.01, FailFile: 0.2, TornFile: 0.2,
	}
	if got := backgroundFaults(); got != want {
		t.Errorf("the faults are %+v, want %+v", got, want)
	}
}

// The random numbers of the run determine the faults of a proxy.
func TestDrawProxyOptions_FollowsFromTheSeed(t *testing.T) {
	r := &run{options: Options{Duration: 12 * time.Second}, random: seeded(7)}
	var text strings.Builder
	for range 3 {
		fmt.Fprintf(&text, "%+v\n", r.drawProxyOptions())
	}
	golden.Compare(t, "testdata/proxies-7.golden", []byte(text.String()))
}
