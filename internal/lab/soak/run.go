package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"flaxrelay/internal/lab/syscallfault"
)

// Options say what to play.
type Options struct {
	Program   string // the front end
	Self      string // a program that calls RunEngineProcess first, for the engines
	Folder    string // for files; a folder of the run's own is made in it
	Seed      uint64
	Duration  time.Duration
	FrontEnds int
	Engines   int
	Clients   int
	Log       io.Writer // of the troubles; nil: none
}

// Result is what a run has found.
type Result struct {
	Seed       uint64
	Folder     string // with the logs
	Outcomes   map[string]int
	Attempts   int
	Troubles   map[string]int
	Injected   map[string]int // faults of system calls, by kind
	Violations []Violation
}

// run is a run in progress.
type run struct {
	options Options
	folder  string
	site    siteOptions
	odd     float64
	history *history
	bus     *eventBus
	started time.Time

	troubles sync.WaitGroup
	busMove  sync.Mutex

	frontEnds []*frontEnd

	mu       sync.Mutex // guards what follows, and busy of front ends and engines
	random   *rand.Rand
	engines  []*engine
	engineID uint32
	played   map[string]int
}

// seedText is a seed in the form of the configuration.
func seedText(seed uint64) string { return fmt.Sprintf("%016x", seed) }

// Play plays one run to its end.
func Play(options Options) (result *Result, err error) {
	random := rand.New(rand.NewPCG(options.Seed, options.Seed))
	r := &run{
		options: options, history: newHistory(), random: random, site: drawSite(random),
		odd: 0.08 * random.Float64(), played: map[string]int{}, started: time.Now(),
	}
	if r.folder, err = os.MkdirTemp(options.Folder, fmt.Sprintf("soak-%d-", options.Seed)); err != nil {
		return nil, err
	}
	if r.bus, err = newEventBus(); err != nil {
		return nil, err
	}
	defer r.bus.close()
	defer r.endAll()
	if err := r.startAll(); err != nil {
		return nil, err
	}
	r.playAll()
	return r.judge(), nil
}

// startAll starts engines and front ends.
func (r *run) startAll() error {
	for i := range r.options.Engines {
		addr, err := newEngineAddr()
		if err != nil {
			return err
		}
		e, err := newEngine(r, r.nextEngineID(), addr, i%4 == 3)
		if err != nil {
			return err
		}
		r.engines = append(r.engines, e)
		e.tell(stateReady, time.Time{}, 0)
	}
	for i := range r.options.FrontEnds {
		f, err := newFrontEnd(r, i+1)
		if err != nil {
			return err
		}
		r.frontEnds = append(r.frontEnds, f)
	}
	for _, f := range r.frontEnds {
		if err := f.start(r.random.Uint64()); err != nil {
			return err
		}
	}
	return nil
}

// playAll plays clients and troubles, and lets all that is open end.
func (r *run) playAll() {
	stopClients, stopTroubles := make(chan struct{}), make(chan struct{})
	var clients, scheduler sync.WaitGroup
	for i := range r.options.Clients {
		c := &client{run: r, number: i, random: rand.New(rand.NewPCG(r.options.Seed, uint64(i)+1))}
		clients.Go(func() { c.serve(stopClients) })
	}
	scheduler.Go(func() { r.playTroubles(rand.New(rand.NewPCG(r.options.Seed, 0)), stopTroubles) })
	time.Sleep(r.options.Duration)
	close(stopTroubles)
	scheduler.Wait()
	r.troubles.Wait()
	close(stopClients)
	clients.Wait()
	for _, f := range r.frontEnds { // all at once, as at the end of a day
		r.troubles.Go(f.terminate)
	}
	r.troubles.Wait()
}

// endAll ends what still runs.
func (r *run) endAll() {
	for _, f := range r.frontEnds {
		if f.process != nil {
			f.signal(9)
			<-f.process.Ended()
		}
	}
	for _, e := range r.engines {
		e.end()
	}
}

// judge collects the result.
func (r *run) judge() *Result {
	starts := map[string][]time.Time{}
	for _, f := range r.frontEnds {
		f.checkLog()
		starts[f.name] = f.readyTimes
	}
	result := &Result{Seed: r.options.Seed, Folder: r.folder, Outcomes: map[string]int{}, Troubles: r.played, Injected: map[string]int{}}
	for _, f := range r.frontEnds {
		for _, process := range f.processes {
			for kind, count := range process.Counts() {
				result.Injected[string(kind)] += count
			}
		}
	}
	result.Violations = r.history.judge(starts)
	r.history.mu.Lock()
	defer r.history.mu.Unlock()
	for _, request := range r.history.requests {
		result.Outcomes[string(request.outcome)]++
	}
	result.Attempts = len(r.history.attempts)
	return result
}

// String describes the result: its counts, and one line for each violation.
func (r *Result) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "seed %d: %d attempts", r.Seed, r.Attempts)
	for _, counts := range []map[string]int{r.Outcomes, r.Troubles, r.Injected} {
		names := []string{}
		for name := range counts {
			names = append(names, name)
		}
		slices.Sort(names)
		text.WriteString("; ")
		for i, name := range names {
			if i > 0 {
				text.WriteString(", ")
			}
			fmt.Fprintf(&text, "%s %d", name, counts[name])
		}
	}
	fmt.Fprintf(&text, "; %d violations\n", len(r.Violations))
	for _, v := range r.Violations {
		fmt.Fprintf(&text, "  %s\n", v)
	}
	return text.String()
}

// note counts a trouble and writes it to the log.
func (r *run) note(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.played[name]++
	if r.options.Log != nil {
		_, _ = fmt.Fprintf(r.options.Log, "%8.3f %s\n", time.Since(r.started).Seconds(), name)
	}
}

// check records an error of the run itself as a violation, so that it is not passed over, and
// reports whether there was none.
func (r *run) check(err error) bool {
	if err != nil {
		r.history.violate(Violation{Rule: ruleProcess, Detail: err.Error()})
	}
	return err == nil
}

func (r *run) nextEngineID() uint32 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.engineID++
	return r.engineID
}

// faults are those that a front end always has: few, so that it is not all that happens, but for
// those of files, which are written seldom.
func (r *run) faults() syscallfault.Faults {
	return syscallfault.Faults{
		ShortWrite: 0.01, InterruptWrite: 0.01, ShortRead: 0.01, InterruptRead: 0.01, FailFile: 0.2, TornFile: 0.2,
	}
}

// shapes writes the file of statement statistics for a front end, whose folder lasts, and returns
// its path.
func (r *run) shapes(name string) string {
	path := filepath.Join(r.folder, name+"-shapes.toml")
	text := fmt.Sprintf("enabled = true\ncorrect_estimates = true\nmemory_kb = 256\nhysteresis = 1.3\nsnapshot = %q\nsnapshot_every_s = 10\n", filepath.Join(r.folder, name+".snapshot"))
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		r.check(err)
	}
	return path
}
