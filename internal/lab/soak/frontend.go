package soak

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"flaxrelay/internal/lab/harness"
	"flaxrelay/internal/lab/syscallfault"
)

const (
	readyLimit = 20 * time.Second
	// newConnectionsEnd and openConnectionsEnd are how long after SIGTERM clients go on to come
	// on new connections and on open ones.
	newConnectionsEnd  = 300 * time.Millisecond
	openConnectionsEnd = 500 * time.Millisecond
	// killGrace is how long after SIGTERM and the longest deadline the kill may come.
	killGrace = 700 * time.Millisecond
	// exitSlack is how much longer an exit may take on a busy machine, as seen by its parent.
	exitSlack = 300 * time.Millisecond
)

var errNotReady = errors.New("not ready in time")

// frontEnd is one front end that is started again after each end, under its name and address.
type frontEnd struct {
	run    *run
	name   string
	addr   string
	config string
	log    string

	mu          sync.Mutex
	process     *syscallfault.Process
	processes   []*syscallfault.Process // all so far
	incarnation int
	ready       bool
	endingAt    time.Time // of the latest SIGTERM or SIGKILL to this process; zero: none
	kills       []time.Time
	readyTimes  []time.Time
	busy        bool // a trouble has it
}

func newFrontEnd(r *run, number int) (*frontEnd, error) {
	addr, err := harness.FreeAddr()
	if err != nil {
		return nil, err
	}
	name := fmt.Sprintf("n%d", number)
	return &frontEnd{
		run: r, name: name, addr: addr,
		config: filepath.Join(r.folder, name+".json"), log: filepath.Join(r.folder, name+".log"),
	}, nil
}

// writeConfig writes the configuration as it is now, atomically.
func (f *frontEnd) writeConfig(seed uint64) error {
	temporary := f.config + ".new"
	if err := os.WriteFile(temporary, configOf(f.name, f.addr, seed, f.run.site, len(f.run.frontEnds), f.run.bus), 0o600); err != nil {
		return err
	}
	return os.Rename(temporary, f.config)
}

// start starts a process and waits until it is ready.
func (f *frontEnd) start(seed uint64) error {
	if err := f.writeConfig(seed); err != nil {
		return err
	}
	output, err := os.OpenFile(f.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = output.Close() }()
	env := append(os.Environ(), "LB_CONFIG="+f.config, "LB_LISTEN=", "GOTRACEBACK=all")
	process, err := syscallfault.Start(f.run.options.Program, []string{"--log-format=json", "--log-level=debug", "serve", "--shapes", f.run.shapes(f.name)}, env, output, seed, f.run.faults())
	if err != nil {
		return err
	}
	f.mu.Lock()
	f.process, f.endingAt = process, time.Time{}
	f.processes = append(f.processes, process)
	f.incarnation++
	f.mu.Unlock()
	go f.watch(process)
	return f.awaitReady()
}

// watch reports a process that ends without having been told to.
func (f *frontEnd) watch(process *syscallfault.Process) {
	status, err := process.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ready = false
	if f.endingAt.IsZero() || err != nil {
		f.run.history.violate(Violation{Rule: ruleProcess, Detail: fmt.Sprintf("%s ended with status %#x, %v; see %s", f.name, int(status), err, f.log)})
	}
}

// awaitReady waits until a health check is answered.
func (f *frontEnd) awaitReady() error {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for deadline := time.Now().Add(readyLimit); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
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
	return fmt.Errorf("%s: %w; see %s", f.name, errNotReady, f.log)
}

// takesNew reports whether clients come on new connections.
func (f *frontEnd) takesNew(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ready && (f.endingAt.IsZero() || now.Before(f.endingAt.Add(newConnectionsEnd)))
}

// usable reports whether clients go on using an open connection.
func (f *frontEnd) usable(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ready && (f.endingAt.IsZero() || now.Before(f.endingAt.Add(openConnectionsEnd)))
}

// killedWithin reports whether a SIGKILL was sent within the span.
func (f *frontEnd) killedWithin(from, until time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, at := range f.kills {
		if !at.Before(from) && !at.After(until) {
			return true
		}
	}
	return false
}

// signal sends a signal. SIGTERM and SIGKILL announce the process's end.
func (f *frontEnd) signal(signal syscall.Signal) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	switch signal {
	case syscall.SIGKILL:
		f.kills = append(f.kills, now)
		f.endingAt, f.ready = now, false
	case syscall.SIGTERM:
		f.endingAt = now
	}
	_ = f.process.Signal(signal) // a process that has ended needs none
}

// terminate ends the process gracefully, and by force where that takes too long.
func (f *frontEnd) terminate() {
	f.signal(syscall.SIGTERM)
	limit := min(longestDeadline, 3*time.Second) + killGrace
	select {
	case <-f.process.Ended():
	case <-time.After(limit + exitSlack):
		f.run.history.violate(Violation{Rule: ruleProcess, Detail: fmt.Sprintf("%s has not ended %v after SIGTERM; see %s", f.name, limit+exitSlack, f.log)})
		_ = f.process.Signal(syscall.SIGKILL)
		<-f.process.Ended()
	}
}

// checkLog looks for what a front end itself has found wrong.
func (f *frontEnd) checkLog() {
	text, err := os.ReadFile(f.log)
	if err != nil {
		f.run.history.violate(Violation{Rule: ruleProcess, Detail: err.Error()})
		return
	}
	for line := range bytes.Lines(text) {
		for _, sign := range []string{`"invariant.violated"`, "count invariants.violated", "panic:", "fatal error:", "DATA RACE"} {
			if strings.Contains(string(line), sign) {
				f.run.history.violate(Violation{Rule: ruleInvariant, Detail: f.name + ": " + strings.TrimSpace(string(line))})
			}
		}
	}
}

// pick returns a front end that takes new connections, or nil.
func (r *run) pick(random *rand.Rand) *frontEnd {
	now := time.Now()
	offset := random.IntN(len(r.frontEnds))
	for i := range r.frontEnds {
		if f := r.frontEnds[(offset+i)%len(r.frontEnds)]; f.takesNew(now) {
			return f
		}
	}
	return nil
}
