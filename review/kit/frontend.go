package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
)

// frontEnd is a process of the project, started by `run` of the deploy file.
type frontEnd struct {
	cmd    *exec.Cmd
	addr   string
	log    string
	exited chan struct{}
}

// running are the processes that were started and not killed yet.
var running struct {
	mu     sync.Mutex
	closed bool // no further process may be started
	list   []*frontEnd
}

// startProcess starts a process. The kernel kills it when the thread that started it ends; that thread therefore waits
// for it.
func startProcess(cmd *exec.Cmd, addr, log string) (*frontEnd, error) {
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	f := &frontEnd{cmd: cmd, addr: addr, log: log, exited: make(chan struct{})}
	started := make(chan error)
	go func() {
		runtime.LockOSThread()
		running.mu.Lock()
		err := errors.New("the case has ended")
		if !running.closed {
			if err = cmd.Start(); err == nil {
				running.list = append(running.list, f)
			}
		}
		running.mu.Unlock()
		started <- err
		if err == nil {
			cmd.Wait()
			close(f.exited)
		}
	}()
	return f, <-started
}

// killAll kills all processes that were started, and waits for their end.
func killAll() {
	running.mu.Lock()
	running.closed = true
	list := running.list
	running.mu.Unlock()
	for _, f := range list {
		f.kill()
	}
}

// runCommand returns the value of `run` in deploy/balancer.toml.
func runCommand(root string) (string, error) {
	text, err := os.ReadFile(filepath.Join(root, "deploy/balancer.toml"))
	if err != nil {
		return "", err
	}
	match := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(text)
	if match == nil {
		return "", errors.New("deploy/balancer.toml has no run")
	}
	return string(match[1]), nil
}

// freeAddr returns a loopback address with a port that was free just now.
func freeAddr() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// settings are those of a small deployment at the site bern-campus, as the wire page shows them.
func settings() map[string]any {
	return map[string]any{
		"balancers": 3,
		"classes": []any{
			map[string]any{"aim-ms": 500.0, "aim-stretch": 1.5, "effect": "read_like", "group": "all", "hard-limit-ms": 2500.0,
				"importance": 1.0, "late-share": 0.0, "name": "lookup", "streamed": false, "window-ms": 5000.0},
			map[string]any{"aim-ms": 3000.0, "aim-stretch": 2.5, "effect": "read_like", "group": "all", "hard-limit-ms": 25000.0,
				"importance": 10.0, "late-share": 0.4, "name": "report", "streamed": false, "window-ms": 5000.0},
		},
		"client-habits": map[string]any{"marks-retry": false},
		"contract": map[string]any{"answer-slack-ms": 20.0, "ask-within-ms": 10000.0, "cold-ms": 15000.0, "fall-ms": 3000.0,
			"start-capacity": 0.31, "stop-sending-within-ms": 500.0, "tip-multiple": 2.5},
		"counted-by": "request",
		"extra": map[string]any{"cores-by-kind": []int{8, 8}, "grant-cap": 0.4, "grants-count": false,
			"is-load": []bool{false, false}, "memory-by-kind-mb": []float64{16384, 16384}, "parallelism": []int{1, 3},
			"report-x0": "share of memory granted", "report-x1": "share of disks busy", "takes-priority": true,
			"tells-cost": true, "tells-every-ms": 1000.0, "when-short": "swap", "yields-to-loads": []bool{false, false}},
		"kinds": []string{"std-8a", "std-8b"},
		"limits": map[string]any{"cancel": false, "connect-timeout-ms": 250.0, "cpu-us-per-request": 0.0,
			"cpu-us-per-s": 50000, "idle-close-ms": 30000.0, "max-retry-after-ms": 1000.0, "max-streams": 32,
			"may-probe": false, "may-tell": false, "most-held": 20000, "most-tries": 3, "retry-after": true,
			"second-copies": false},
		"membership-mode": "pushed",
		"projects":        []any{},
		"rank":            0,
		"report":          map[string]any{"how": "piggyback", "names": []string{"waiting", "active", "x0", "x1"}},
		"round-ms":        5.0,
		"service-type":    "queries",
		"zone":            "hall-a",
		"zones":           []string{"hall-a", "hall-b", "hall-c"},
	}
}

// writeConfig writes the configuration of one front end and returns its path.
func writeConfig(dir string, settings map[string]any, busAddr, listen string, memoryMB, sockets int, engines []*engine) (string, error) {
	var targets []any
	for i, e := range engines {
		targets = append(targets, map[string]any{"uid": fmt.Sprintf("s-%08x", e.uid), "endpoint": e.addr(),
			"az": []string{"hall-a", "hall-b", "hall-c"}[i%3], "model": "std-8a", "pod_group": i, "state": "in_service",
			"capacity_hint": 1, "boot_ms": 0})
	}
	config := map[string]any{
		"name": "n1", "listen": listen, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": memoryMB, "sockets": sockets},
		"bus":    busAddr,
		"known": map[string]any{"offset": 1, "batch": []any{map[string]any{"offset": 1,
			"topology": map[string]any{"rev": 1, "all": true, "targets": targets}}}},
		"settings": settings,
	}
	text, err := json.MarshalIndent(config, "", " ")
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, "config.json")
	return path, os.WriteFile(path, text, 0o644)
}

// startFrontEnd starts a front end and waits until GET /health is answered with 200.
func startFrontEnd(ctx context.Context, root, dir, config, listen string) (*frontEnd, error) {
	command, err := runCommand(root)
	if err != nil {
		return nil, err
	}
	logPath := filepath.Join(dir, "front-end.log")
	log, err := os.OpenFile(logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	cmd := exec.Command("/bin/sh", "-c", command)
	cmd.Dir = root
	cmd.Env = append(os.Environ(), "LB_NAME=n1", "LB_LISTEN="+listen, "LB_CONFIG="+config, "TMPDIR="+dir)
	cmd.Stdout, cmd.Stderr = log, log
	f, err := startProcess(cmd, listen, logPath)
	if err != nil {
		return nil, err
	}
	for deadline := time.Now().Add(20 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		if f.healthy(time.Second) {
			return f, nil
		}
		select {
		case <-f.exited:
			return nil, errors.New("the front end ended at its start")
		default:
		}
		if ctx.Err() != nil || time.Now().After(deadline) {
			f.kill()
			return nil, errors.New("the front end is not ready after 20 s")
		}
	}
}

// healthy reports whether GET /health is answered with 200 within the time.
func (f *frontEnd) healthy(within time.Duration) bool {
	conn, err := net.DialTimeout("tcp", f.addr, within)
	if err != nil {
		return false
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(within))
	fmt.Fprintf(conn, "GET /health HTTP/1.1\r\nHost: backend.local\r\n\r\n")
	answer := make([]byte, 12)
	n, _ := conn.Read(answer)
	return strings.HasPrefix(string(answer[:n]), "HTTP/1.1 200")
}

// cpuSeconds returns the processor time that the front end has used.
func (f *frontEnd) cpuSeconds() float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", f.cmd.Process.Pid))
	if err != nil {
		return -1
	}
	words := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	var user, system float64
	fmt.Sscan(words[11], &user)
	fmt.Sscan(words[12], &system)
	return (user + system) / 100
}

func (f *frontEnd) running() bool {
	select {
	case <-f.exited:
		return false
	default:
		return true
	}
}

func (f *frontEnd) kill() {
	if f.running() {
		f.cmd.Process.Kill()
		<-f.exited
	}
}

// deployment starts engines, the event bus and one front end with the settings of a small deployment.
func (e *environment) deployment(count int, work func(class string) time.Duration) (*frontEnd, []*engine, error) {
	var engines []*engine
	for i := range count {
		started, err := startEngine(e.rec, fmt.Sprintf("e%d", i+1), uint32(0x00c41f70+i), work)
		if err != nil {
			return nil, nil, err
		}
		engines = append(engines, started)
	}
	events, err := startBus()
	if err != nil {
		return nil, nil, err
	}
	for attempt := 1; ; attempt++ {
		listen, err := freeAddr()
		if err != nil {
			return nil, nil, err
		}
		config, err := writeConfig(e.dir, settings(), events.addr(), listen, 192, 1024, engines)
		if err != nil {
			return nil, nil, err
		}
		front, err := startFrontEnd(e.ctx, e.root, e.dir, config, listen)
		if err == nil || attempt == 3 || e.ctx.Err() != nil {
			return front, engines, err // another process may take a free port at any time
		}
	}
}

// counters returns the lines that the front end prints at SIGUSR1.
func (f *frontEnd) counters() []string {
	f.cmd.Process.Signal(syscall.SIGUSR1)
	time.Sleep(500 * time.Millisecond)
	log, _ := os.ReadFile(f.log)
	return strings.Split(string(log), "\n")
}
