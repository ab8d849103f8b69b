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
	// startTimeout limits the start of a front end or an engine.
	startTimeout = 20 * time.Second
	// newConnectionsEnd is the time after SIGTERM at which clients stop opening new connections.
	newConnectionsEnd = 300 * time.Millisecond
	// openConnectionsEnd is the time after SIGTERM at which clients stop sending requests on open connections.
	openConnectionsEnd = 500 * time.Millisecond
	// maxShutdownTime limits the first part of a graceful shutdown, in which pending requests complete.
	maxShutdownTime = 3 * time.Second
	// killGrace is the time after the first part within which the process must exit. The platform may kill a
	// process that is still running then.
	killGrace = 700 * time.Millisecond
	// exitSlack is the additional time that an exit may take on a busy machine.
	exitSlack = 300 * time.Millisecond
	// fileMode is the mode of the files of a run.
	fileMode = 0o600
)

var errNotReady = errors.New("not ready in time")

// frontEnd is a front end. Faults stop its process and start another under the same name and address.
// During the workload, only the fault that has claimed the front end stops and starts it. This fault may read
// process without locking mu. Clients read the state from their goroutines.
type frontEnd struct {
	run          *run
	name         string
	addr         string
	configPath   string
	shapesPath   string // configuration of the statement statistics
	snapshotPath string // of the statement statistics
	logPath      string

	mu          sync.Mutex // guards the fields below
	process     *syscallfault.Process
	processes   []*syscallfault.Process // all processes so far, the current one last
	ready       bool                    // the current process serves
	signalledAt time.Time               // when the current process was last sent SIGTERM or SIGKILL; zero: never
	kills       []time.Time             // when a process was sent SIGKILL, other than by terminate
	readyTimes  []time.Time             // when each process became ready
}

func newFrontEnd(r *run, number int) (*frontEnd, error) {
	addr, err := harness.FreeAddr()
	if err != nil {
		return nil, err
	}
	name := fmt.Sprintf("n%d", number)
	return &frontEnd{
		run:          r,
		name:         name,
		addr:         addr,
		configPath:   filepath.Join(r.directory, name+".json"),
		shapesPath:   filepath.Join(r.directory, name+"-shapes.toml"),
		snapshotPath: filepath.Join(r.directory, name+".snapshot"),
		logPath:      filepath.Join(r.directory, name+".log"),
	}, nil
}

// start starts a process and waits until it is ready.
func (f *frontEnd) start(seed uint64) error {
	if err := f.writeConfig(seed); err != nil {
		return err
	}
	if err := f.writeShapesConfig(); err != nil {
		return err
	}
	output, err := os.OpenFile(f.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, fileMode)
	if err != nil {
		return fmt.Errorf("log of %s: %w", f.name, err)
	}
	defer func() { _ = output.Close() }()
	args := []string{"--log-format=json", "--log-level=debug", "serve", "--shapes", f.shapesPath}
	env := append(os.Environ(), "LB_CONFIG="+f.configPath, "LB_LISTEN=", "GOTRACEBACK=all")
	process, err := syscallfault.Start(f.run.options.FrontEndProgram, args, env, output, seed, backgroundFaults())
	if err != nil {
		return err
	}
	f.mu.Lock()
	f.process = process
	f.signalledAt = time.Time{}
	f.processes = append(f.processes, process)
	f.mu.Unlock()
	go f.watch(process)
	return f.awaitReady()
}

// processID returns the id of the latest process. The front end must have been started.
func (f *frontEnd) processID() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.process.ID()
}

// watch waits until a process has ended. It reports a violation if the process ended without having been sent
// SIGTERM or SIGKILL, or if waiting for it failed.
func (f *frontEnd) watch(process *syscallfault.Process) {
	status, err := process.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ready = false
	if f.signalledAt.IsZero() || err != nil {
		f.report(RuleProcess, "%s ended with status %#x, %v; see %s", f.name, int(status), err, f.logPath)
	}
}

// report records a violation of the front end.
func (f *frontEnd) report(rule Rule, format string, args ...any) {
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

// acceptsNewConnections reports whether clients may open new connections.
func (f *frontEnd) acceptsNewConnections(now time.Time) bool {
	return f.servesFor(newConnectionsEnd, now)
}

// acceptsRequests reports whether clients may send requests on open connections.
func (f *frontEnd) acceptsRequests(now time.Time) bool { return f.servesFor(openConnectionsEnd, now) }

// servesFor reports whether the front end is ready and still serves. After a signal to exit, it still serves for the
// time afterSignal.
func (f *frontEnd) servesFor(afterSignal time.Duration, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ready && (f.signalledAt.IsZero() || now.Before(f.signalledAt.Add(afterSignal)))
}

// settledProcess returns the process if it has been ready for longer than settleTime, and nil otherwise. exiting
// reports whether the process was signalled to exit.
func (f *frontEnd) settledProcess() (process *syscallfault.Process, exiting bool) {
	const settleTime = time.Second
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.ready || len(f.readyTimes) == 0 || time.Since(f.readyTimes[len(f.readyTimes)-1]) <= settleTime {
		return nil, false
	}
	return f.process, !f.signalledAt.IsZero()
}

// killedWithin reports whether a SIGKILL was sent between the two times, both included.
func (f *frontEnd) killedWithin(from, until time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.ContainsFunc(f.kills, span{from, until}.contains)
}

// signal sends a signal to the process. It records SIGTERM and SIGKILL, after which the process may exit.
func (f *frontEnd) signal(signal syscall.Signal) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	if signal == syscall.SIGTERM || signal == syscall.SIGKILL {
		f.signalledAt = now
	}
	if signal == syscall.SIGKILL {
		f.kills = append(f.kills, now)
		f.ready = false
	}
	_ = f.process.Signal(signal) // fails if the process has already ended
}

// terminate sends SIGTERM and waits until the process has exited. If the exit takes too long, terminate records a
// violation and kills the process.
func (f *frontEnd) terminate() {
	const limit = min(longestDeadline, maxShutdownTime) + killGrace + exitSlack
	f.signal(syscall.SIGTERM)
	select {
	case <-f.process.Ended():
	case <-time.After(limit):
		f.report(RuleProcess, "%s has not exited %v after SIGTERM; see %s", f.name, limit, f.logPath)
		_ = f.process.Signal(syscall.SIGKILL)
		<-f.process.Ended()
	}
}

// violationMarkers are the texts that mark log lines of a violated invariant, a crash or a data race.
var violationMarkers = []string{
	`"invariant.violated"`, "count invariants.violated", "panic:", "fatal error:", "DATA RACE",
}

// checkLog searches the log for violations that the front end has reported, and for crashes.
func (f *frontEnd) checkLog() {
	text, err := os.ReadFile(f.logPath)
	if err != nil {
		f.report(RuleProcess, "%v", err)
		return
	}
	for line := range bytes.Lines(text) {
		for _, marker := range violationMarkers {
			if bytes.Contains(line, []byte(marker)) {
				f.report(RuleInvariant, "%s: %s", f.name, bytes.TrimSpace(line))
			}
		}
	}
}
