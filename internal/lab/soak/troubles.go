package soak

import (
	"math/rand/v2"
	"syscall"
	"time"

	"flaxrelay/internal/lab/faultproxy"
	"flaxrelay/internal/lab/syscallfault"
)

// trouble is one kind of trouble. It returns when it is over.
type trouble struct {
	name string
	play func(r *run, random *rand.Rand)
}

// troubles are drawn with equal weight.
var troubles = []trouble{
	{"terminate a front end", (*run).terminateFrontEnd},
	{"kill a front end", (*run).killFrontEnd},
	{"restart an engine", (*run).restartEngine},
	{"replace an engine", (*run).replaceEngine},
	{"replace an engine", (*run).replaceEngine},
	{"freeze an engine", (*run).freezeEngine},
	{"move the bus", (*run).moveBus},
	{"bus down", func(r *run, random *rand.Rand) { r.disturbBus(busDown, random) }},
	{"bus silent", func(r *run, random *rand.Rand) { r.disturbBus(busSilent, random) }},
	{"bus torn", func(r *run, random *rand.Rand) { r.disturbBus(busTorn, random) }},
	{"failing system calls", (*run).failSystemCalls},
	{"failing system calls", (*run).failSystemCalls},
	{"step a front end's clock", (*run).stepClock},
}

// playTroubles starts a trouble every now and then until stop, so that several overlap.
func (r *run) playTroubles(random *rand.Rand, stop <-chan struct{}) {
	const minPause, pauseRange = 150 * time.Millisecond, 700 * time.Millisecond
	for {
		select {
		case <-stop:
			return
		case <-time.After(minPause + time.Duration(random.Int64N(int64(pauseRange)))):
		}
		t := troubles[random.IntN(len(troubles))]
		seed := random.Uint64()
		r.note(t.name)
		r.troubles.Go(func() { t.play(r, rand.New(rand.NewPCG(seed, seed))) })
	}
}

// claimFrontEnd returns a front end that no other trouble has, or nil. Some always stay.
func (r *run) claimFrontEnd(random *rand.Rand) *frontEnd {
	r.mu.Lock()
	defer r.mu.Unlock()
	free := []*frontEnd{}
	for _, f := range r.frontEnds {
		if !f.busy {
			free = append(free, f)
		}
	}
	if len(free) <= len(r.frontEnds)/2 {
		return nil
	}
	f := free[random.IntN(len(free))]
	f.busy = true
	return f
}

func (r *run) releaseFrontEnd(f *frontEnd) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f.busy = false
}

// claimEngine is the same for engines.
func (r *run) claimEngine(random *rand.Rand) *engine {
	r.mu.Lock()
	defer r.mu.Unlock()
	free := []*engine{}
	for _, e := range r.engines {
		if !e.busy {
			free = append(free, e)
		}
	}
	if len(free) <= len(r.engines)/3 {
		return nil
	}
	e := free[random.IntN(len(free))]
	e.busy = true
	return e
}

func (r *run) releaseEngine(e *engine) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e.busy = false
}

func (r *run) terminateFrontEnd(random *rand.Rand) {
	if f := r.claimFrontEnd(random); f != nil {
		defer r.releaseFrontEnd(f)
		f.terminate()
		r.check(f.start(random.Uint64()))
	}
}

func (r *run) killFrontEnd(random *rand.Rand) {
	if f := r.claimFrontEnd(random); f != nil {
		defer r.releaseFrontEnd(f)
		f.signal(syscall.SIGKILL)
		<-f.process.Ended()
		r.check(f.start(random.Uint64()))
	}
}

// restartEngine kills an engine's process and starts another with a clock that may be stepped.
func (r *run) restartEngine(random *rand.Rand) {
	const maxDown, maxNotice = 800 * time.Millisecond, 600 * time.Millisecond
	e := r.claimEngine(random)
	if e == nil {
		return
	}
	defer r.releaseEngine(e)
	e.kill()
	time.Sleep(time.Duration(random.Int64N(int64(maxDown))))
	startedAt := time.Now()
	if !r.check(e.start()) {
		return
	}
	time.Sleep(time.Duration(random.Int64N(int64(maxNotice))))
	e.tell(stateReady, startedAt, clockSteps[random.IntN(len(clockSteps))])
}

// replaceEngine drains an engine, removes it and adds a new one, some at the same address.
func (r *run) replaceEngine(random *rand.Rand) {
	const minDrain, drainRange = time.Second, 2 * time.Second
	e := r.claimEngine(random)
	if e == nil {
		return
	}
	e.tell(stateDraining, time.Time{}, 0)
	time.Sleep(minDrain + time.Duration(random.Int64N(int64(drainRange))))
	e.tell(stateGone, time.Time{}, 0)
	time.Sleep(drainGrace)
	e.end()
	addr := e.addr
	if random.IntN(2) == 0 {
		var err error
		if addr, err = newEngineAddr(); !r.check(err) {
			return
		}
	}
	startedAt := time.Now()
	next, err := newEngine(r, r.nextEngineID(), addr, random.IntN(3) == 0)
	if !r.check(err) {
		return
	}
	r.mu.Lock()
	for i := range r.engines {
		if r.engines[i] == e {
			r.engines[i] = next
		}
	}
	r.mu.Unlock()
	next.tell(stateReady, startedAt, clockSteps[random.IntN(len(clockSteps))])
}

func (r *run) freezeEngine(random *rand.Rand) {
	const minTime, timeRange = 300 * time.Millisecond, 3 * time.Second
	if e := r.claimEngine(random); e != nil {
		defer r.releaseEngine(e)
		e.freeze(minTime + time.Duration(random.Int64N(int64(timeRange))))
	}
}

// moveBus gives the bus another address and has all front ends reload.
func (r *run) moveBus(random *rand.Rand) {
	r.busMove.Lock() // one configuration after the other
	defer r.busMove.Unlock()
	now := time.Now()
	r.history.addBusTrouble(now, now.Add(toldAfterTrouble))
	if !r.check(r.bus.move()) {
		return
	}
	for _, f := range r.frontEnds {
		if !r.check(f.writeConfig(random.Uint64())) {
			return
		}
		f.mu.Lock()
		stable := f.ready && len(f.readyTimes) > 0 && time.Since(f.readyTimes[len(f.readyTimes)-1]) > time.Second
		f.mu.Unlock()
		if stable {
			_ = f.process.Signal(syscall.SIGHUP) // one that has ended reads the file when it starts
		} else {
			r.troubles.Go(func() { r.reloadLater(f) })
		}
	}
}

// reloadLater has a front end reload that has just started, once it may be told.
func (r *run) reloadLater(f *frontEnd) {
	for range 100 {
		time.Sleep(100 * time.Millisecond)
		f.mu.Lock()
		stable := f.ready && f.endingAt.IsZero() && time.Since(f.readyTimes[len(f.readyTimes)-1]) > time.Second
		process := f.process
		f.mu.Unlock()
		if stable {
			_ = process.Signal(syscall.SIGHUP)
			return
		}
	}
}

// disturbBus has the bus misbehave for a while.
func (r *run) disturbBus(mode busMode, random *rand.Rand) {
	const minTime, timeRange = 200 * time.Millisecond, 2 * time.Second
	duration := minTime + time.Duration(random.Int64N(int64(timeRange)))
	now := time.Now()
	r.history.addBusTrouble(now, now.Add(duration+toldSlack))
	r.bus.setMode(mode)
	time.Sleep(duration)
	r.bus.setMode(busNormal)
}

// failSystemCalls has the system calls of a front end fail for a while.
func (r *run) failSystemCalls(random *rand.Rand) {
	const minTime, timeRange = 300 * time.Millisecond, 2 * time.Second
	f := r.claimFrontEnd(random)
	if f == nil {
		return
	}
	defer r.releaseFrontEnd(f)
	rate := func() float64 {
		if random.IntN(2) == 0 {
			return 0
		}
		return 0.3 * random.Float64()
	}
	f.process.SetFaults(syscallfault.Faults{
		ShortWrite: rate(), InterruptWrite: rate(), ShortRead: rate(), InterruptRead: rate(), InterruptWait: rate(),
		FailAccept: rate(), FailSocket: rate(), FailConnect: rate(), FailFile: rate(), TornFile: rate(),
		ShortLength: 1 + random.IntN(80), ClockStep: clockSteps[random.IntN(len(clockSteps))],
	})
	time.Sleep(minTime + time.Duration(random.Int64N(int64(timeRange))))
	f.process.SetFaults(r.faults())
}

// stepClock steps the wall clock of a front end's machine.
func (r *run) stepClock(random *rand.Rand) {
	const duration = 2 * time.Second
	if f := r.claimFrontEnd(random); f != nil {
		defer r.releaseFrontEnd(f)
		faults := r.faults()
		faults.ClockStep = clockSteps[random.IntN(len(clockSteps))]
		f.process.SetFaults(faults)
		time.Sleep(duration)
	}
}

// proxyOptions draws what a proxy before an engine does.
func (r *run) proxyOptions() faultproxy.Options {
	r.mu.Lock()
	defer r.mu.Unlock()
	options := faultproxy.Options{
		Delay: time.Duration(r.random.Int64N(int64(5 * time.Millisecond))), Jitter: 2 * time.Millisecond, Seed: r.random.Uint64(),
	}
	kinds := []faultproxy.Kind{faultproxy.Stall, faultproxy.DropResponses, faultproxy.Reset, faultproxy.Disconnect}
	for at := time.Second; at < r.options.Duration; at += time.Second + time.Duration(r.random.Int64N(int64(4*time.Second))) {
		options.Faults = append(options.Faults, faultproxy.Fault{
			Kind: kinds[r.random.IntN(len(kinds))], From: at, For: 100*time.Millisecond + time.Duration(r.random.Int64N(int64(time.Second))),
		})
	}
	return options
}
