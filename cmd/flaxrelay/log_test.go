package main

import (
	"os"
	"syscall"
	"testing"
	"time"
)

// startListening starts a front end with one engine in a process of its own. It returns the address
// of the listener as soon as the log has it, and reads nothing more of the log.
func startListening(t *testing.T) (p *process, address string) {
	t.Helper()
	path := writeExampleConfig(t, exampleEngineAddress, startEngine(t, respondWithoutRows))
	p = startProcess(t, configVariable, path)
	return p, p.awaitAddress()
}

// expectServed sends a request on a connection of its own and checks that it is served.
func expectServed(t *testing.T, address string) {
	t.Helper()
	if status, err := lookupOnce(address, sequentialRequestID(1)); err != nil || status != "200 OK" {
		t.Fatalf("got %q, %v", status, err)
	}
}

// Lines of a log that nobody reads are dropped.
func TestLog_ThatIsNotReadDoesNotStopTheService(t *testing.T) {
	if serveInChild(t) {
		return
	}
	p, address := startListening(t)
	for range 300 { // each prints all counters: far more than a pipe's buffer
		p.signal(syscall.SIGUSR1)
		time.Sleep(2 * time.Millisecond)
		expectServed(t, address)
	}
	p.signal(os.Kill)
	p.drainLog()
	_ = p.cmd.Wait() // killed
}

func TestLog_WhoseReaderHasEndedDoesNotEndTheService(t *testing.T) {
	if serveInChild(t) {
		return
	}
	p, address := startListening(t)
	if err := p.logPipe.Close(); err != nil {
		t.Fatal(err)
	}
	for range 3 {
		p.signal(syscall.SIGUSR1)
		time.Sleep(50 * time.Millisecond)
		expectServed(t, address)
	}
	p.signal(syscall.SIGTERM)
	p.wait()
}
