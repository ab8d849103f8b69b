package soak

import (
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"flaxrelay/internal/lab/faultproxy"
)

// engine is an engine in the endpoint list, with its process. During the workload, only the fault that has
// claimed the engine changes the engine's fields and calls its methods. The exceptions are readEvents, which runs on
// a separate goroutine, and processID.
type engine struct {
	run      *run
	id       uint32
	addr     string            // at which the process listens
	proxy    *faultproxy.Proxy // nil: front ends connect to the process itself
	endpoint endpoint
	cmd      *exec.Cmd
	starts   int // number of starts of the process so far

	mu       sync.Mutex // guards the fields below, which other goroutines read
	thawedAt time.Time  // end of the latest freeze
	pid      int        // id of the latest process
}

// processID returns the id of the latest process.
func (e *engine) processID() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.pid
}

func (e *engine) name() string { return e.endpoint.name() }

// newEngine starts an engine and, if proxied is true, a proxy in front of the engine. It does not publish the
// engine.
func newEngine(r *run, id uint32, addr string, proxied bool) (*engine, error) {
	created := &engine{run: r, id: id, addr: addr, endpoint: endpoint{id: id}}
	if err := created.start(); err != nil {
		return nil, err
	}
	listedAddr := addr
	if proxied {
		proxy, err := faultproxy.Listen(addr, r.drawProxyOptions())
		if err != nil {
			created.kill()
			return nil, err
		}
		created.proxy = proxy
		listedAddr = proxy.Addr()
	}
	parsed, err := netip.ParseAddrPort(listedAddr)
	if err != nil {
		created.stop()
		return nil, fmt.Errorf("address of engine %s: %w", created.name(), err)
	}
	created.endpoint.addr = parsed
	return created, nil
}

// processOptions returns the options of the process. Each start uses a different seed.
func (e *engine) processOptions() engineOptions {
	const seedsPerEngine = 1000 // exceeds the number of starts of an engine in a run
	seed := e.run.options.Seed + uint64(e.id)*seedsPerEngine + uint64(e.starts)
	return engineOptions{Addr: e.addr, Seed: seed, FaultyResponseShare: e.run.faultyResponseShare}
}

// start starts the process and waits until it listens.
func (e *engine) start() error {
	e.starts++
	options, err := json.Marshal(e.processOptions())
	if err != nil {
		return fmt.Errorf("engine %s: %w", e.name(), err)
	}
	cmd := exec.Command(e.run.options.EngineProgram)
	cmd.Env = append(os.Environ(), engineVariable+"="+string(options))
	cmd.Stderr = os.Stderr
	output, err := cmd.StdoutPipe()
	if err != nil {
		return fmt.Errorf("engine %s: %w", e.name(), err)
	}
	if _, err := cmd.StdinPipe(); err != nil { // the process exits when this end of the pipe is closed
		return fmt.Errorf("engine %s: %w", e.name(), err)
	}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("engine %s: %w", e.name(), err)
	}
	e.cmd = cmd
	e.mu.Lock()
	e.pid = cmd.Process.Pid
	e.mu.Unlock()
	listening := make(chan struct{})
	go e.readEvents(fmt.Sprintf("%s/%d", e.name(), e.starts), output, listening)
	select {
	case <-listening:
		return nil
	case <-time.After(startTimeout):
		e.kill()
		return fmt.Errorf("engine %s: %w", e.name(), errNotReady)
	}
}

// readEvents records the events of a process in the history until the process exits. The history refers to
// the process by the given name. readEvents closes listening when the process listens. It runs on a separate
// goroutine.
func (e *engine) readEvents(process string, output io.Reader, listening chan<- struct{}) {
	events := json.NewDecoder(output)
	for {
		var event engineEvent
		if events.Decode(&event) != nil {
			e.run.history.endProcess(process, time.Now())
			return
		}
		switch event.Kind {
		case eventListening:
			close(listening)
		case eventAttemptBegan:
			e.run.history.beginAttempt(process, &attempt{
				requestID: event.RequestID, engine: e.name(), class: event.Class, beganAt: event.At,
				remainingTime: event.RemainingTime, delayed: e.proxy != nil || e.readLate(event.At),
			})
		case eventAttemptEnded, eventAttemptCancelled:
			e.run.history.endAttempt(process, event.RequestID, attemptEnd{
				at: event.At, response: event.Response, workTime: event.WorkTime, delayed: e.readLate(event.At),
			})
		}
	}
}

// kill kills the process and waits until it has exited.
func (e *engine) kill() {
	_ = e.cmd.Process.Kill()
	_ = e.cmd.Wait()
}

// freeze suspends the process for the duration. The connections of the process stay open.
func (e *engine) freeze(duration time.Duration) {
	_ = e.cmd.Process.Signal(syscall.SIGSTOP)
	time.Sleep(duration)
	e.mu.Lock()
	e.thawedAt = time.Now()
	e.mu.Unlock()
	_ = e.cmd.Process.Signal(syscall.SIGCONT)
}

// readLate reports whether bytes that the process read at the given time may have arrived while the process
// was frozen.
func (e *engine) readLate(at time.Time) bool {
	const catchUpTime = 500 * time.Millisecond
	e.mu.Lock()
	defer e.mu.Unlock()
	return at.After(e.thawedAt) && at.Before(e.thawedAt.Add(catchUpTime))
}

// publishState publishes a state of the engine. The change does not count as a start of the engine.
func (e *engine) publishState(state engineState) { e.publish(state, time.Time{}) }

// publishStart publishes that the engine is ready and when it started. The published time is startedAt by the
// engine's clock, which is wrong by clockStep.
func (e *engine) publishStart(startedAt time.Time, clockStep time.Duration) {
	e.endpoint.bootMS = startedAt.Add(clockStep).UnixMilli()
	e.publish(stateReady, startedAt)
}

func (e *engine) publish(state engineState, startedAt time.Time) {
	e.endpoint.state = state
	e.run.history.addChange(engineChange{
		engine: e.name(), state: state, publishedAt: time.Now(), startedAt: startedAt,
	})
	e.run.bus.publish(e.endpoint)
}

// stop kills the process and closes the proxy.
func (e *engine) stop() {
	e.kill()
	if e.proxy != nil {
		e.proxy.Close()
	}
}
