package soak

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"flaxrelay/internal/lab/harness"
	"flaxrelay/internal/lab/syscallfault"
)

const (
	// startTimeout bounds the start of a front end or an engine.
	startTimeout = 20 * time.Second
	// newConnectionsEnd and openConnectionsEnd are how long after SIGTERM clients still open new
	// connections, and send requests on open ones.
	newConnectionsEnd  = 300 * time.Millisecond
	openConnectionsEnd = 500 * time.Millisecond
	// maxShutdownTime bounds the part of a graceful shutdown in which pending requests end.
	maxShutdownTime = 3 * time.Second
	// killGrace is how long after SIGTERM and the longest deadline the platform may kill.
	killGrace = 700 * time.Millisecond
	// exitSlack is how much longer an exit may take on a busy machine, as its parent sees it.
	exitSlack = 300 * time.Millisecond
	// fileMode is the mode of the files of a run.
	fileMode = 0o600
)

var errNotReady = errors.New("not ready in time")

// frontEnd is a front end that is started again after each end, under its name and address. One
// fault at a time ends and starts it; clients read its state from their goroutines.
type frontEnd struct {
	run        *run
	name       string
	addr       string
	configPath string
	logPath    string

	mu         sync.Mutex // guards what follows
	process    *syscallfault.Process
	processes  []*syscallfault.Process // all so far
	ready      bool                    // whether the process serves
	endingAt   time.Time               // when it was sent the latest SIGTERM or SIGKILL; zero: none
	kills      []time.Time
	readyTimes []time.Time // of all processes
}

func newFrontEnd(r *run, number int) (*frontEnd, error) {
	addr, err := harness.FreeAddr()
	if err != nil {
		return nil, err
	}
	name := fmt.Sprintf("n%d", number)
	return &frontEnd{
		run: r, name: name, addr: addr,
		configPath: filepath.Join(r.folder, name+".json"), logPath: filepath.Join(r.folder, name+".log"),
	}, nil
}

// writeConfig replaces the configuration by one with the present state of the bus, atomically.
func (f *frontEnd) writeConfig(seed uint64) error {
	config := frontEndConfig{
		Name: f.name, Listen: f.addr, Seed: formatSeed(seed), Limits: frontEndLimits, Bus: f.run.bus.addr(),
		Known: f.run.bus.known(), Settings: settingsObject(f.run.settings, len(f.run.frontEnds)),
	}
	encoded, err := config.encode()
	if err != nil {
		return err
	}
	temporary := f.configPath + ".new"
	if err := os.WriteFile(temporary, encoded, fileMode); err != nil {
		return fmt.Errorf("configuration of %s: %w", f.name, err)
	}
	if err := os.Rename(temporary, f.configPath); err != nil {
		return fmt.Errorf("configuration of %s: %w", f.name, err)
	}
	return nil
}

// start starts a process and waits until it is ready.
func (f *frontEnd) start(seed uint64) error {
	if err := f.writeConfig(seed); err != nil {
		return err
	}
	output, err := os.OpenFile(f.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, fileMode)
	if err != nil {
		return fmt.Errorf("log of %s: %w", f.name, err)
	}
	defer func() { _ = output.Close() }()
	args := []string{"--log-format=json", "--log-level=debug", "serve", "--shapes", f.run.writeShapesFile(f.name)}
	env := append(os.Environ(), "LB_CONFIG="+f.configPath, "LB_LISTEN=", "GOTRACEBACK=all")
	process, err := syscallfault.Start(f.run.options.Program, args, env, output, seed, backgroundFaults())
	if err != nil {
		return err
	}
	f.mu.Lock()
	f.process = process
	f.endingAt = time.Time{}
	f.processes = append(f.processes, process)
	f.mu.Unlock()
	go f.watch(process)
	return f.awaitReady()
}

// watch waits for the end of a process and reports one that was not asked for.
func (f *frontEnd) watch(process *syscallfault.Process) {
	status, err := process.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ready = false
	if f.endingAt.IsZero() || err != nil {
		f.violate(RuleProcess, "%s ended with status %#x, %v; see %s", f.name, int(status), err, f.logPath)
	}
}

// violate records a violation of the front end.
func (f *frontEnd) violate(rule Rule, format string, args ...any) {
	f.run.history.addViolation(Violation{Rule: rule, Detail: fmt.Sprintf(format, args...)})
}

// awaitReady waits until the front end responds to a health check.
func (f *frontEnd) awaitReady() error {
	const (
		checkTimeout  = time.Second
		checkInterval = 20 * time.Millisecond
	)
	client := http.Client{Timeout: checkTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(checkInterval) {
		response, err := client.Get("http://" + f.addr + "/health")
		if err != nil {
			continue
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			f.mu.Lock()
			f.ready = true
			f.readyTimes = append(f.readyTimes, time.Now())
			f.mu.Unlock()
			return nil
		}
	}
	return fmt.Errorf("%s: %w; see %s", f.name, errNotReady, f.logPath)
}

// takesNewConnections reports whether clients open new connections.
func (f *frontEnd) takesNewConnections(now time.Time) bool {
	return f.servesFor(newConnectionsEnd, now)
}

// takesRequests reports whether clients send requests on open connections.
func (f *frontEnd) takesRequests(now time.Time) bool { return f.servesFor(openConnectionsEnd, now) }

// servesFor reports whether the front end is ready, and was not signalled to end longer ago than
// the time.
func (f *frontEnd) servesFor(afterSignal time.Duration, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ready && (f.endingAt.IsZero() || now.Before(f.endingAt.Add(afterSignal)))
}

// settledProcess returns the process, and whether it was signalled to end, if it has been ready for
// longer than settleTime, else nil.
func (f *frontEnd) settledProcess() (process *syscallfault.Process, ending bool) {
	const settleTime = time.Second
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.ready || len(f.readyTimes) == 0 || time.Since(f.readyTimes[len(f.readyTimes)-1]) <= settleTime {
		return nil, false
	}
	return f.process, !f.endingAt.IsZero()
}

// killedWithin reports whether a SIGKILL was sent within the span, which includes its ends.
func (f *frontEnd) killedWithin(from, until time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.ContainsFunc(f.kills, span{from, until}.contains)
}

// signal sends a signal. SIGTERM and SIGKILL announce the end of the process.
func (f *frontEnd) signal(signal syscall.Signal) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	if signal == syscall.SIGTERM || signal == syscall.SIGKILL {
		f.endingAt = now
	}
	if signal == syscall.SIGKILL {
		f.kills = append(f.kills, now)
		f.ready = false
	}
	_ = f.process.Signal(signal) // a process that has ended needs none
}

// terminate ends the process gracefully, and by force if that takes too long.
func (f *frontEnd) terminate() {
	const limit = min(longestDeadline, maxShutdownTime) + killGrace + exitSlack
	f.signal(syscall.SIGTERM)
	select {
	case <-f.process.Ended():
	case <-time.After(limit):
		f.violate(RuleProcess, "%s has not ended %v after SIGTERM; see %s", f.name, limit, f.logPath)
		_ = f.process.Signal(syscall.SIGKILL)
		<-f.process.Ended()
	}
}

// violationSigns stand in the log lines of a violated invariant, a crash or a data race.
var violationSigns = []string{
	`"invariant.violated"`, "count invariants.violated", "panic:", "fatal error:", "DATA RACE",
}

// checkLog looks for violations that the front end itself has reported, and for crashes.
func (f *frontEnd) checkLog() {
	text, err := os.ReadFile(f.logPath)
	if err != nil {
		f.violate(RuleProcess, "%v", err)
		return
	}
	for line := range bytes.Lines(text) {
		for _, sign := range violationSigns {
			if bytes.Contains(line, []byte(sign)) {
				f.violate(RuleInvariant, "%s: %s", f.name, bytes.TrimSpace(line))
			}
		}
	}
}
