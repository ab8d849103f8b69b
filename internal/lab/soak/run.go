package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"sync"
	"syscall"
	"time"

	"flaxrelay/internal/lab/harness"
	"flaxrelay/internal/lab/syscallfault"
)

// Options configure a run.
type Options struct {
	FrontEndProgram string // path
	EngineProgram   string // path; the program must call RunEngineProcess first
	Directory       string // in which the run creates a directory for its files
	Seed            uint64
	Duration        time.Duration
	FrontEnds       int
	Engines         int
	Clients         int
	Log             io.Writer // receives a line about each fault; nil: no log is written
}

// Second words of the seeds of the schedule and of the clients. The first word is the seed of the run.
const (
	scheduleStream    = 0
	firstClientStream = 1 // plus the number of the client
)

// At any time, at least half of the front ends and at least a third of the engines, both rounded down, are
// unclaimed.
const (
	frontEndReserveDivisor = 2
	engineReserveDivisor   = 3
)

// run is a run in progress. Its front ends, engines and clients refer to it.
type run struct {
	options             Options
	directory           string
	settings            runSettings
	faultyResponseShare float64 // share of requests without a normal response from the engine
	history             *history
	bus                 *eventBus
	startedAt           time.Time

	frontEnds    []*frontEnd // does not change after the first front end is started
	frontEndPool *pool[*frontEnd]
	enginePool   *pool[*engine]

	sentRequests chan sentRequest // from the clients to the repeater
	repeater     repeater

	faults  sync.WaitGroup // counts the faults in progress
	busMove sync.Mutex     // serializes moves of the bus, which write all configurations

	mu           sync.Mutex // guards the fields below
	random       *rand.Rand
	lastEngineID uint32
	faultCounts  map[string]int // number of faults that were started, by kind
}

// newRun draws the settings of a run from its seed.
func newRun(options Options) *run {
	const maxFaultyResponseShare = 0.08
	random := rand.New(rand.NewPCG(options.Seed, options.Seed))
	settings := drawRunSettings(random)
	r := &run{
		options: options, settings: settings, faultyResponseShare: maxFaultyResponseShare * random.Float64(),
		history: newHistory(), startedAt: time.Now(), random: random, faultCounts: map[string]int{},
		frontEndPool: newPool[*frontEnd](frontEndReserveDivisor), enginePool: newPool[*engine](engineReserveDivisor),
		sentRequests: make(chan sentRequest),
	}
	r.repeater.run = r
	return r
}

// Run runs the workload while it injects the faults of the seed, and then checks the history.
func Run(options Options) (*Result, error) {
	r := newRun(options)
	directory, err := os.MkdirTemp(options.Directory, fmt.Sprintf("soak-%d-", options.Seed))
	if err != nil {
		return nil, fmt.Errorf("create the directory of the run: %w", err)
	}
	r.directory = directory
	if r.bus, err = newEventBus(); err != nil {
		return nil, err
	}
	defer r.bus.close()
	defer r.killProcesses()
	if err := r.startEngines(); err != nil {
		return nil, err
	}
	if err := r.startFrontEnds(); err != nil {
		return nil, err
	}
	r.runWorkload()
	return r.result(), nil
}

// processGroups returns the process ids of the front ends, of the engines, and of this process, which traces the front
// ends and runs the clients.
func (r *run) processGroups() [][]int {
	var frontEnds, engines []int
	for _, f := range r.frontEnds {
		frontEnds = append(frontEnds, f.processID())
	}
	for _, e := range r.enginePool.all() {
		engines = append(engines, e.processID())
	}
	return [][]int{frontEnds, engines, {os.Getpid()}}
}

// startEngines starts the engines and publishes them.
func (r *run) startEngines() error {
	const proxiedEngineOneIn = 4
	for i := range r.options.Engines {
		addr, err := harness.FreeAddr()
		if err != nil {
			return err
		}
		proxied := i%proxiedEngineOneIn == proxiedEngineOneIn-1
		e, err := newEngine(r, r.nextEngineID(), addr, proxied)
		if err != nil {
			return err
		}
		r.enginePool.add(e)
		e.publishState(stateReady)
	}
	return nil
}

// startFrontEnds starts the front ends one after the other.
func (r *run) startFrontEnds() error {
	for i := range r.options.FrontEnds {
		f, err := newFrontEnd(r, i+1)
		if err != nil {
			return err
		}
		r.frontEnds = append(r.frontEnds, f)
		r.frontEndPool.add(f)
	}
	for _, f := range r.frontEnds {
		if err := f.start(r.random.Uint64()); err != nil {
			return err
		}
	}
	return nil
}

// runWorkload runs clients and injects faults for the duration of the run. It waits until all faults are over
// and all requests have ended, and then terminates the front ends.
func (r *run) runWorkload() {
	stopSampling := make(chan struct{})
	defer close(stopSampling)
	go newWaitSampler(r.processGroups).run(r.history.addProcessorWait, stopSampling)
	stopClients := make(chan struct{})
	stopFaults := make(chan struct{})
	var clients, injector sync.WaitGroup
	for i := range r.options.Clients {
		random := rand.New(rand.NewPCG(r.options.Seed, uint64(i)+firstClientStream))
		c := &client{run: r, number: i, random: random}
		clients.Go(func() { c.sendRequests(stopClients) })
	}
	clients.Go(func() { r.repeater.repeatRequests(stopClients) })
	schedule := rand.New(rand.NewPCG(r.options.Seed, scheduleStream))
	injector.Go(func() { r.injectFaults(schedule, stopFaults) })
	time.Sleep(r.options.Duration)
	close(stopFaults)
	injector.Wait()
	r.faults.Wait()
	close(stopClients)
	clients.Wait()
	for _, f := range r.frontEnds { // all at the same time
		r.faults.Go(f.terminate)
	}
	r.faults.Wait()
}

// killProcesses kills the processes that are still running.
func (r *run) killProcesses() {
	for _, f := range r.frontEnds {
		if f.process != nil {
			f.signal(syscall.SIGKILL)
			<-f.process.Ended()
		}
	}
	for _, e := range r.enginePool.all() {
		e.stop()
	}
}

// result checks the logs and the history, and collects the result.
func (r *run) result() *Result {
	readyTimes := map[string][]time.Time{}
	for _, f := range r.frontEnds {
		f.checkLog()
		readyTimes[f.name] = f.readyTimes
	}
	return &Result{
		Seed:          r.options.Seed,
		Directory:     r.directory,
		Outcomes:      r.history.outcomeCounts(),
		Attempts:      r.history.attemptCount(),
		Faults:        r.faultCounts,
		Injected:      r.injectedCounts(),
		Repeated:      r.repeater.served,
		ProcessorWait: r.history.processorWaitSum(),
		Violations:    r.history.check(readyTimes),
	}
}

// injectedCounts counts the faults of system calls in all processes of the front ends.
func (r *run) injectedCounts() map[syscallfault.Kind]int {
	counts := map[syscallfault.Kind]int{}
	for _, f := range r.frontEnds {
		for _, process := range f.processes {
			for kind, count := range process.Counts() {
				counts[kind] += count
			}
		}
	}
	return counts
}

// recordFault counts a fault that is being started and writes it to the log.
func (r *run) recordFault(kind string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faultCounts[kind]++
	if r.options.Log != nil {
		_, _ = fmt.Fprintf(r.options.Log, "%8.3f %s\n", time.Since(r.startedAt).Seconds(), kind)
	}
}

// recordError records an error of the test environment as a violation, so that the run fails.
func (r *run) recordError(err error) {
	r.history.addViolation(Violation{Rule: RuleProcess, Detail: err.Error()})
}

func (r *run) nextEngineID() uint32 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastEngineID++
	return r.lastEngineID
}

// pickFrontEnd returns a front end that accepts new connections, or nil if there is none. The search begins at
// a random front end.
func (r *run) pickFrontEnd(random *rand.Rand) *frontEnd {
	now := time.Now()
	offset := random.IntN(len(r.frontEnds))
	for i := range r.frontEnds {
		if f := r.frontEnds[(offset+i)%len(r.frontEnds)]; f.acceptsNewConnections(now) {
			return f
		}
	}
	return nil
}
