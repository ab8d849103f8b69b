package main

import (
	"bufio"
	"io"
	"log/slog"
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"

	"flaxrelay/internal/logging"
)

// Environment variables that tell a test binary started by startProcess what to serve.
const (
	configVariable   = "FLAXRELAY_TEST_CONFIG"
	postgresVariable = "FLAXRELAY_TEST_POSTGRES"
)

// processTimeout ends a process whose test waits for a log line that never comes.
const processTimeout = 20 * time.Second

// childFiles returns what a process that startProcess started serves; it has no files in
// any other process.
func childFiles() serveFiles {
	return serveFiles{config: os.Getenv(configVariable), postgres: os.Getenv(postgresVariable)}
}

// inChild reports whether startProcess started this process.
func inChild() bool { return childFiles() != serveFiles{} }

// serveInChild serves in a process that startProcess started, until it is shut down, and
// reports whether this is such a process. A test whose process is started calls it first.
func serveInChild(t *testing.T) bool {
	t.Helper()
	if !inChild() {
		return false
	}
	output := logging.NewAsyncWriter(os.Stderr)
	defer output.Flush(finalFlushTime)
	if err := serve(childFiles(), slog.New(slog.NewTextHandler(output, nil)), output); err != nil {
		t.Fatal(err)
	}
	return true
}

// process is a front end in a process of its own.
type process struct {
	t   *testing.T
	cmd *exec.Cmd
	log *bufio.Scanner

	logPipe io.Closer // the reading end of the log
}

// startProcess runs the calling test, which must call serveInChild, in a process of its
// own that serves what the environment variable names.
func startProcess(t *testing.T, variable, path string) *process {
	t.Helper()
	p := &process{t: t, cmd: exec.Command(os.Args[0], "-test.run=^"+t.Name()+"$")}
	p.cmd.Env = append(os.Environ(), variable+"="+path)
	stderr, err := p.cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	watchdog := time.AfterFunc(processTimeout, func() { _ = p.cmd.Process.Kill() })
	t.Cleanup(func() { watchdog.Stop() })
	p.log, p.logPipe = bufio.NewScanner(stderr), stderr
	return p
}

func (p *process) signal(s os.Signal) { _ = p.cmd.Process.Signal(s) }

// awaitLog reads the log up to a line with the text, and returns that line.
func (p *process) awaitLog(text string) string {
	p.t.Helper()
	for p.log.Scan() {
		if strings.Contains(p.log.Text(), text) {
			return p.log.Text()
		}
	}
	p.t.Fatalf("the program ended without %q", text)
	return ""
}

// drainLog reads the log to its end, so that the pipe doesn't fill up.
func (p *process) drainLog() {
	for p.log.Scan() {
		continue
	}
}

// wait checks that the process ends without a failure. The log must be read to its end
// before.
func (p *process) wait() {
	p.t.Helper()
	if err := p.cmd.Wait(); err != nil {
		p.t.Errorf("the program ended with %v", err)
	}
}
