package main

import (
	"os"
	"syscall"
	"testing"
	"time"
)

// startListening starts a front end with one engine in a child process. It returns the address of the
// listener as soon as the address is in the log, and does not read the rest of the log.
func startListening(t *testing.T) (p *process, address string) {
	t.Helper()
	path := writeExampleConfig(t, exampleEngineAddress, startEngine(t, respondWithoutRows))
	p = startProcess(t, configVariable, path)
	return p, p.awaitAddress()
}

// expectServed sends a request on a new connection and checks that the request is served.
func expectServed(t *testing.T, address string) {
	t.Helper()
	if status, err := lookupOnce(address, sequentialRequestID(1)); err != nil || status != "200 OK" {
		t.Fatalf("got %q, %v", status, err)
	}
}

// If nothing reads the log, its lines are dropped and requests are still served.
func TestLog_ThatIsNotReadDoesNotStopTheService(t *testing.T) {
	if serveInChild(t) {
		return
	}
	p, address := startListening(t)
	for range 300 { // each prints all counters; together they far exceed the buffer of the pipe
		p.signal(syscall.SIGUSR1)
		time.Sleep(2 * time.Millisecond)
		expectServed(t, address)
	}
	p.signal(os.Kill)
	p.drainLog()
	_ = p.cmd.Wait() // the process was killed, so the error is expected
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
