package soak

import (
	"math/rand/v2"
	"syscall"
	"time"

	"flaxrelay/internal/lab/faultproxy"
	"flaxrelay/internal/lab/harness"
	"flaxrelay/internal/lab/syscallfault"
)

// clockSteps are the possible steps of a wall clock away from the true time. drawClockStep chooses one of them at
// random. With probability 1/2 the step is 0, and the clock is correct.
var clockSteps = []time.Duration{0, 0, 0, -5 * time.Second, -time.Hour, time.Hour}

func drawClockStep(random *rand.Rand) time.Duration { return clockSteps[random.IntN(len(clockSteps))] }

// terminateFrontEnd shuts a front end down gracefully and starts it again.
func (r *run) terminateFrontEnd(random *rand.Rand) error {
	f, ok := r.frontEndPool.claim(random)
	if !ok {
		return nil
	}
	defer r.frontEndPool.release(f)
	f.terminate()
	return f.start(random.Uint64())
}

// killFrontEnd kills a front end and starts it again.
func (r *run) killFrontEnd(random *rand.Rand) error {
	f, ok := r.frontEndPool.claim(random)
	if !ok {
		return nil
	}
	defer r.frontEndPool.release(f)
	f.signal(syscall.SIGKILL)
	<-f.process.Ended()
	return f.start(random.Uint64())
}

// engineRestart describes the restart of an engine.
type engineRestart struct {
	downtime          time.Duration
	notificationDelay time.Duration // from the engine's start until the bus publishes the start
	clockStep         time.Duration // error of the engine's clock, which determines the published start
}

func drawEngineRestart(random *rand.Rand) engineRestart {
	const (
		maxDowntime          = 800 * time.Millisecond
		maxNotificationDelay = 600 * time.Millisecond
	)
	downtime := drawDuration(random, 0, maxDowntime)
	notificationDelay := drawDuration(random, 0, maxNotificationDelay)
	return engineRestart{downtime: downtime, notificationDelay: notificationDelay, clockStep: drawClockStep(random)}
}

// restartEngine kills an engine's process and starts another.
func (r *run) restartEngine(random *rand.Rand) error {
	e, ok := r.enginePool.claim(random)
	if !ok {
		return nil
	}
	defer r.enginePool.release(e)
	restart := drawEngineRestart(random)
	e.kill()
	time.Sleep(restart.downtime)
	startedAt := time.Now()
	if err := e.start(); err != nil {
		return err
	}
	time.Sleep(restart.notificationDelay)
	e.publishStart(startedAt, restart.clockStep)
	return nil
}

// engineReplacement describes the replacement of an engine by a successor.
type engineReplacement struct {
	drainTime  time.Duration // between the publications of the draining and of the removal
	newAddress bool          // the successor listens at another address than the replaced engine
	proxied    bool          // the successor is reached through a proxy
	clockStep  time.Duration // error of the successor's clock
}

func drawEngineReplacement(random *rand.Rand) engineReplacement {
	const (
		minDrainTime    = time.Second
		drainTimeRange  = 2 * time.Second
		newAddressOneIn = 2
		proxiedOneIn    = 3
	)
	drainTime := drawDuration(random, minDrainTime, drainTimeRange)
	newAddress := random.IntN(newAddressOneIn) == 0
	proxied := random.IntN(proxiedOneIn) == 0
	return engineReplacement{
		drainTime: drainTime, newAddress: newAddress, proxied: proxied, clockStep: drawClockStep(random),
	}
}

// replaceEngine drains an engine, removes it and adds a successor.
func (r *run) replaceEngine(random *rand.Rand) error {
	replaced, ok := r.enginePool.claim(random)
	if !ok {
		return nil
	}
	replacement := drawEngineReplacement(random)
	replaced.publishState(stateDraining)
	time.Sleep(replacement.drainTime)
	replaced.publishState(stateRemoved)
	time.Sleep(drainGrace)
	replaced.stop()
	addr := replaced.addr
	if replacement.newAddress {
		var err error
		if addr, err = harness.FreeAddr(); err != nil {
			return err
		}
	}
	startedAt := time.Now()
	successor, err := newEngine(r, r.nextEngineID(), addr, replacement.proxied)
	if err != nil {
		return err
	}
	r.enginePool.replace(replaced, successor)
	successor.publishStart(startedAt, replacement.clockStep)
	return nil
}

func drawFreezeTime(random *rand.Rand) time.Duration {
	const (
		minTime   = 300 * time.Millisecond
		timeRange = 3 * time.Second
	)
	return drawDuration(random, minTime, timeRange)
}

// freezeEngine suspends an engine's process for a random time.
func (r *run) freezeEngine(random *rand.Rand) error {
	if e, ok := r.enginePool.claim(random); ok {
		defer r.enginePool.release(e)
		e.freeze(drawFreezeTime(random))
	}
	return nil
}

// moveBus moves the bus to another address and makes all front ends reload their configuration.
func (r *run) moveBus(random *rand.Rand) error {
	r.busMove.Lock() // moves must not overlap: each writes all configurations
	defer r.busMove.Unlock()
	now := time.Now()
	r.history.addBusFault(now, now.Add(notificationGraceAfterFault))
	if err := r.bus.move(); err != nil {
		return err
	}
	for _, f := range r.frontEnds {
		if err := f.writeConfig(random.Uint64()); err != nil {
			return err
		}
		if process, _ := f.settledProcess(); process != nil {
			_ = process.Signal(syscall.SIGHUP) // a process that starts later reads the new file anyway
		} else {
			r.faults.Go(func() { r.reloadLater(f) })
		}
	}
	return nil
}

// reloadLater is for a front end that is not settled. It polls until settledProcess returns a process that was not
// signalled to exit, and then makes this process reload the configuration. After maxPolls polls, it gives up.
func (r *run) reloadLater(f *frontEnd) {
	const (
		pollInterval = 100 * time.Millisecond
		maxPolls     = 100
	)
	for range maxPolls {
		time.Sleep(pollInterval)
		if process, exiting := f.settledProcess(); process != nil && !exiting {
			_ = process.Signal(syscall.SIGHUP)
			return
		}
	}
}

func drawBusFaultTime(random *rand.Rand) time.Duration {
	const (
		minTime   = 200 * time.Millisecond
		timeRange = 2 * time.Second
	)
	return drawDuration(random, minTime, timeRange)
}

// busFault returns a fault that switches the bus to a mode for a random time.
func busFault(mode busMode) faultInjector {
	return func(r *run, random *rand.Rand) error {
		duration := drawBusFaultTime(random)
		now := time.Now()
		r.history.addBusFault(now, now.Add(duration+notificationSlack))
		r.bus.setMode(mode)
		time.Sleep(duration)
		r.bus.setMode(busNormal)
		return nil
	}
}

// backgroundFaults returns the system call faults that a front end has while no scheduled fault changes them. The
// rates are low, except for faults of files, because files are seldom written.
func backgroundFaults() syscallfault.Faults {
	const (
		socketFaultRate = 0.01
		fileFaultRate   = 0.2
	)
	return syscallfault.Faults{
		ShortWrite: socketFaultRate, InterruptWrite: socketFaultRate, ShortRead: socketFaultRate,
		InterruptRead: socketFaultRate, FailFile: fileFaultRate, TornFile: fileFaultRate,
	}
}

// drawSystemCallFaults draws the faults of a front end's system calls and the duration of the faults. Each kind of
// fault occurs with a probability of one half.
func drawSystemCallFaults(random *rand.Rand) (faults syscallfault.Faults, duration time.Duration) {
	const (
		minTime        = 300 * time.Millisecond
		timeRange      = 2 * time.Second
		maxRate        = 0.3
		noFaultOneIn   = 2
		maxShortLength = 80
	)
	rate := func() float64 {
		if random.IntN(noFaultOneIn) == 0 {
			return 0
		}
		return maxRate * random.Float64()
	}
	faults = syscallfault.Faults{
		ShortWrite: rate(), InterruptWrite: rate(), ShortRead: rate(), InterruptRead: rate(), InterruptWait: rate(),
		FailAccept: rate(), FailSocket: rate(), FailConnect: rate(), FailFile: rate(), TornFile: rate(),
		ShortLength: 1 + random.IntN(maxShortLength), ClockStep: drawClockStep(random),
	}
	return faults, drawDuration(random, minTime, timeRange)
}

// failSystemCalls makes system calls of a front end fail for a random time.
func (r *run) failSystemCalls(random *rand.Rand) error {
	if f, ok := r.frontEndPool.claim(random); ok {
		defer r.frontEndPool.release(f)
		faults, duration := drawSystemCallFaults(random)
		f.process.SetFaults(faults)
		time.Sleep(duration)
		f.process.SetFaults(backgroundFaults())
	}
	return nil
}

// stepClock steps the wall clock that a front end reads. The clock stays wrong until the next fault
// that claims the front end.
func (r *run) stepClock(random *rand.Rand) error {
	const duration = 2 * time.Second
	if f, ok := r.frontEndPool.claim(random); ok {
		defer r.frontEndPool.release(f)
		faults := backgroundFaults()
		faults.ClockStep = drawClockStep(random)
		f.process.SetFaults(faults)
		time.Sleep(duration)
	}
	return nil
}

// drawProxyOptions draws the faults of a proxy in front of an engine.
func (r *run) drawProxyOptions() faultproxy.Options {
	const (
		maxDelay   = 5 * time.Millisecond
		jitter     = 2 * time.Millisecond
		firstFault = time.Second
		minPause   = time.Second
		pauseRange = 4 * time.Second
		minTime    = 100 * time.Millisecond
		timeRange  = time.Second
	)
	r.mu.Lock()
	defer r.mu.Unlock()
	delay := drawDuration(r.random, 0, maxDelay)
	options := faultproxy.Options{Delay: delay, Jitter: jitter, Seed: r.random.Uint64()}
	kinds := []faultproxy.Kind{faultproxy.Stall, faultproxy.DropResponses, faultproxy.Reset, faultproxy.Disconnect}
	for at := firstFault; at < r.options.Duration; at += drawDuration(r.random, minPause, pauseRange) {
		kind := kinds[r.random.IntN(len(kinds))]
		duration := drawDuration(r.random, minTime, timeRange)
		options.Faults = append(options.Faults, faultproxy.Fault{Kind: kind, From: at, For: duration})
	}
	return options
}
