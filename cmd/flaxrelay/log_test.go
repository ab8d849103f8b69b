package main

import (
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"flaxrelay/internal/tcptest"
)

// startWithLog starts a front end in a process of its own, and returns the address it listens
// at once it does. Nothing of its log is read after that.
func startWithLog(t *testing.T) (p *process, address string) {
	t.Helper()
	engine := startEngine(t, answerWithoutRows)
	path := filepath.Join(t.TempDir(), "config.json")
	writeFile(t, path, strings.NewReplacer(exampleEngineAddress, engine, exampleListenAddress, tcptest.AnyLoopbackPort).
		Replace(readFile(t, exampleConfig)))
	p = startProcess(t, configVariable, path)
	match := listeningAddress.FindStringSubmatch(p.awaitLog("server.listening"))
	if match == nil {
		t.Fatal("no address in the log")
	}
	return p, match[1]
}

// A log that nobody reads does not stop the service: lines are dropped instead.
func TestLogThatIsNotReadDoesNotStopTheService(t *testing.T) {
	if serveInChild(t) {
		return
	}
	p, address := startWithLog(t)
	for range 300 { // each prints all counters: far more than a pipe holds
		p.signal(syscall.SIGUSR1)
		time.Sleep(2 * time.Millisecond)
		if status, err := lookupOnce(address, sequentialRequestID(1)); err != nil || status != "200 OK" {
			t.Fatalf("got %q, %v", status, err)
		}
	}
	p.signal(os.Kill)
	p.drainLog()
	_ = p.cmd.Wait() // killed
}

// A log whose reader has ended does not end the service.
func TestLogWhoseReaderHasEndedDoesNotEndTheService(t *testing.T) {
	if serveInChild(t) {
		return
	}
	p, address := startWithLog(t)
	if err := p.logPipe.Close(); err != nil {
		t.Fatal(err)
	}
	for range 3 {
		p.signal(syscall.SIGUSR1)
		time.Sleep(50 * time.Millisecond)
		if status, err := lookupOnce(address, sequentialRequestID(1)); err != nil || status != "200 OK" {
			t.Fatalf("got %q, %v", status, err)
		}
	}
	p.signal(syscall.SIGTERM)
	p.wait()
}
