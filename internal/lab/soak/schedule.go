package soak

import (
	"math/rand/v2"
	"time"
)

// faultInjector injects a fault into a run and returns when the fault is over. It draws the target and the
// parameters of the fault. If no target can be claimed, it does nothing. It returns an error only if the test
// environment fails.
type faultInjector func(r *run, random *rand.Rand) error

// faultKind is one kind of fault.
type faultKind struct {
	name   string
	inject faultInjector
}

// faultKinds are drawn with equal probability. A kind that is listed twice is drawn twice as often. A
// change of the order changes the schedule of every seed.
var faultKinds = []faultKind{
	{"terminate a front end", (*run).terminateFrontEnd},
	{"kill a front end", (*run).killFrontEnd},
	{"restart an engine", (*run).restartEngine},
	{"replace an engine", (*run).replaceEngine},
	{"replace an engine", (*run).replaceEngine},
	{"freeze an engine", (*run).freezeEngine},
	{"move the bus", (*run).moveBus},
	{"bus down", busFault(busDown)},
	{"bus silent", busFault(busSilent)},
	{"bus event truncated", busFault(busTruncating)},
	{"failing system calls", (*run).failSystemCalls},
	{"failing system calls", (*run).failSystemCalls},
	{"step a front end's clock", (*run).stepClock},
}

// scheduledFault is one fault of the schedule.
type scheduledFault struct {
	pause time.Duration // since the start of the previous fault
	kind  faultKind
	seed  uint64 // of the random numbers of this fault
}

// nextFault draws the next fault of a schedule.
func nextFault(random *rand.Rand) scheduledFault {
	const (
		minPause   = 150 * time.Millisecond
		pauseRange = 700 * time.Millisecond
	)
	pause := drawDuration(random, minPause, pauseRange)
	kind := faultKinds[random.IntN(len(faultKinds))]
	return scheduledFault{pause: pause, kind: kind, seed: random.Uint64()}
}

// drawDuration draws a duration of at least minimum and less than minimum+rangeSize.
func drawDuration(random *rand.Rand, minimum, rangeSize time.Duration) time.Duration {
	return minimum + time.Duration(random.Int64N(int64(rangeSize)))
}

// injectFaults starts the faults of the schedule one after the other until stop is closed. It does not
// wait until a fault is over, so that faults overlap.
func (r *run) injectFaults(random *rand.Rand, stop <-chan struct{}) {
	for {
		fault := nextFault(random)
		select {
		case <-stop:
			return
		case <-time.After(fault.pause):
		}
		r.recordFault(fault.kind.name)
		r.faults.Go(func() {
			if err := fault.kind.inject(r, rand.New(rand.NewPCG(fault.seed, fault.seed))); err != nil {
				r.recordError(err)
			}
		})
	}
}
