package main

import (
	"bufio"
	"io"
	"log/slog"
	"os"
	"os/exec"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"flaxrelay/internal/logging"
)

// Environment variables of the processes that startProcess starts. The value is the path of the file to serve.
const (
	configVariable   = "FLAXRELAY_TEST_CONFIG"
	postgresVariable = "FLAXRELAY_TEST_POSTGRES"
)

// processTimeout limits how long a process runs, so that no test waits forever for a line of the log.
const processTimeout = 20 * time.Second

// childFiles returns the files that this process must serve. If startProcess did not start this process,
// all paths are "".
func childFiles() serveFiles {
	return serveFiles{config: os.Getenv(configVariable), postgres: os.Getenv(postgresVariable)}
}

// inChild reports whether startProcess started this process.
func inChild() bool { return childFiles() != serveFiles{} }

// serveInChild reports whether startProcess started this process. If so, serveInChild serves until the
// process is shut down. A test that starts a process must call it first.
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

// process is a front end in a child process.
type process struct {
	t   *testing.T
	cmd *exec.Cmd
	log *bufio.Scanner // reads logPipe

	logPipe io.Closer // the reading end of the pipe for the log
}

// startProcess runs the calling test, which must call serveInChild, in a child process. The environment
// variable is configVariable or postgresVariable; the child process serves the file at the path.
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
	p.log = bufio.NewScanner(stderr)
	p.logPipe = stderr
	return p
}

// signal sends a signal, unless the process has ended.
func (p *process) signal(sig os.Signal) { _ = p.cmd.Process.Signal(sig) }

// awaitLog reads the log up to a line that contains the text, and returns that line.
func (p *process) awaitLog(text string) string {
	p.t.Helper()
	for p.log.Scan() {
		if strings.Contains(p.log.Text(), text) {
			return p.log.Text()
		}
	}
	p.t.Fatalf("the process ended without printing %q", text)
	return ""
}

// listeningAddress matches the address in the log event server.listening.
var listeningAddress = regexp.MustCompile(`msg=server.listening addr=([0-9.:]+)`)

// awaitAddress reads the log until the process listens, and returns the address of its listener.
func (p *process) awaitAddress() string {
	p.t.Helper()
	match := listeningAddress.FindStringSubmatch(p.awaitLog("server.listening"))
	if match == nil {
		p.t.Fatal("the log has no address")
	}
	return match[1]
}

// drainLog reads the log until the process ends.
func (p *process) drainLog() {
	for p.log.Scan() {
		continue
	}
}

// wait waits for the process and checks that it exits with status 0. The log must have been read to its
// end.
func (p *process) wait() {
	p.t.Helper()
	if err := p.cmd.Wait(); err != nil {
		p.t.Errorf("the process ended with %v", err)
	}
}

// shutDown shuts the process down and checks that it prints the text and exits with status 0.
func (p *process) shutDown(text string) {
	p.t.Helper()
	p.signal(syscall.SIGTERM)
	p.awaitLog(text)
	p.drainLog()
	p.wait()
}
