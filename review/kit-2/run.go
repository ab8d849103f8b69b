package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// run is one play of a case: its record, its temporary folder and its processes.
type run struct {
	trouble bool // the disruption happens
	dir     string
	root    string

	mu        sync.Mutex
	out       *bufio.Writer
	file      *os.File
	started   time.Time
	processes []*process
	breaks    []string
}

// process is one program of the project.
type process struct {
	cmd  *exec.Cmd
	done chan struct{}
	err  error
}

func newRun(record string, trouble bool) (*run, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	return &run{
		trouble: trouble, dir: dir, root: root,
		out: bufio.NewWriter(file), file: file, started: time.Now(),
	}, nil
}

// note writes one line of the record.
func (c *run) note(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fmt.Fprintf(c.out, "%8.3f %s\n", time.Since(c.started).Seconds(), fmt.Sprintf(format, args...))
}

// breakRule records that the rule was broken.
func (c *run) breakRule(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.breaks = append(c.breaks, fmt.Sprintf(format, args...))
}

func (c *run) broken() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.breaks
}

func (c *run) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = c.out.Flush()
	_ = c.file.Close()
}

// cleanUp ends all processes that the case started, and removes its folder.
func (c *run) cleanUp() {
	c.mu.Lock()
	processes := c.processes
	c.mu.Unlock()
	for _, p := range processes {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
		<-p.done
	}
	_ = os.RemoveAll(c.dir)
	c.mu.Lock()
	_ = c.out.Flush()
	c.mu.Unlock()
}

// deployCommand returns the value of a key of deploy/balancer.toml.
func (c *run) deployCommand(key string) (string, error) {
	text, err := os.ReadFile(filepath.Join(c.root, "deploy/balancer.toml"))
	if err != nil {
		return "", err
	}
	found := regexp.MustCompile(`(?m)^` + key + ` = "(.*)"$`).FindSubmatch(text)
	if found == nil {
		return "", errors.New("deploy/balancer.toml: no " + key)
	}
	return string(found[1]), nil
}

// logBuffer keeps what a process prints.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.text.Len() < 1<<20 {
		l.text.Write(p)
	}
	return len(p), nil
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// start starts a command of a deploy file, which replaces its shell with the program.
func (c *run) start(command string, environment ...string) (*process, *logBuffer, error) {
	cmd := exec.Command("/bin/sh", "-c", command)
	cmd.Dir = c.root
	cmd.Env = append(os.Environ(), environment...)
	log := &logBuffer{}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, nil, err
	}
	p := &process{cmd: cmd, done: make(chan struct{})}
	go func() {
		p.err = cmd.Wait()
		close(p.done)
	}()
	c.mu.Lock()
	c.processes = append(c.processes, p)
	c.mu.Unlock()
	return p, log, nil
}

// exited reports whether the process has ended.
func (p *process) exited() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// startFrontEnd starts a front end of the platform and waits until it is ready.
func (c *run) startFrontEnd(config, address string) (*process, *logBuffer, error) {
	command, err := c.deployCommand("run")
	if err != nil {
		return nil, nil, err
	}
	p, log, err := c.start(command, "LB_CONFIG="+config, "LB_LISTEN="+address, "LB_NAME=n0")
	if err != nil {
		return nil, nil, err
	}
	return p, log, c.await(p, log, address)
}

// startPostgres starts a front end for PostgreSQL clients with a deploy file like deploy/postgres.toml.
func (c *run) startPostgres(deployFile, address string) (*process, *logBuffer, error) {
	p, log, err := c.start("exec bin/flaxrelay --postgres "+deployFile, "LB_CONFIG=", "LB_LISTEN=")
	if err != nil {
		return nil, nil, err
	}
	return p, log, c.await(p, log, address)
}

// await waits until something listens at the address.
func (c *run) await(p *process, log *logBuffer, address string) error {
	for range 300 {
		conn, err := net.DialTimeout("tcp", address, time.Second)
		if err == nil {
			return conn.Close()
		}
		if p.exited() {
			return fmt.Errorf("the front end has ended: %s", strings.TrimSpace(log.String()))
		}
		time.Sleep(50 * time.Millisecond)
	}
	return errors.New("the front end does not listen")
}

// freeAddress returns a loopback address at which nothing listens.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}

// reset ends a connection with a reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
