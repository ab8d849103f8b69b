package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"flaxrelay/internal/lab/syscallfault"
)

// startWithFaults runs the calling test, which must call serveInChild, in a traced child process with one
// engine. It returns the process and the address of its listener.
func startWithFaults(
	t *testing.T, engine string, faults syscallfault.Faults,
) (p *syscallfault.Process, address string) {
	t.Helper()
	environment := append(os.Environ(), configVariable+"="+writeExampleConfig(t, exampleEngineAddress, engine))
	logPath := filepath.Join(t.TempDir(), "log")
	log, err := os.Create(logPath)
	if err != nil {
		t.Fatal(err)
	}
	defer closeQuietly(log)
	testName, _, _ := strings.Cut(t.Name(), "/")
	arguments := []string{"-test.run=^" + testName + "$"}
	p, err = syscallfault.Start(os.Args[0], arguments, environment, log, 1, faults)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = p.Signal(syscall.SIGKILL) // the process may have ended already
		<-p.Ended()
	})
	deadline := time.Now().Add(processTimeout)
	for time.Now().Before(deadline) {
		if match := listeningAddress.FindStringSubmatch(readFile(t, logPath)); match != nil {
			return p, match[1]
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("the process does not listen: %s", readFile(t, logPath))
	return nil, ""
}

// System calls of the front end are cut short, interrupted or fail. Every request must be served despite
// these faults.
func TestFaultySystemCalls_EveryRequestIsServed(t *testing.T) {
	if serveInChild(t) {
		return
	}
	for name, faults := range map[string]syscallfault.Faults{
		"short writes":       {ShortWrite: 0.2},
		"interrupted writes": {InterruptWrite: 0.2},
		"short reads":        {ShortRead: 0.2},
		"interrupted reads":  {InterruptRead: 0.2, InterruptWait: 0.2},
		"failing accepts":    {FailAccept: 0.3},
		"failing connects":   {FailSocket: 0.3, FailConnect: 0.3},
	} {
		t.Run(name, func(t *testing.T) {
			p, address := startWithFaults(t, startEngine(t, respondWithoutRows), faults)
			unserved := runClients(address)
			if len(unserved) > 0 {
				t.Errorf("%d of %d requests were not served, such as %s; faults %v",
					len(unserved), clients*requestsPerClient, unserved[0], p.Counts())
			}
		})
	}
}

// The load of runClients.
const (
	clients           = 8
	requestsPerClient = 15
)

// runClients runs clients concurrently. Each client sends requests one after another. runClients returns
// the status and the error of each request that was not served.
func runClients(address string) (unserved []string) {
	var mu sync.Mutex // guards unserved
	var running sync.WaitGroup
	for client := range clients {
		running.Go(func() {
			for i := range requestsPerClient {
				id := sequentialRequestID(client*requestsPerClient + i)
				status, err := lookupOnce(address, id)
				if status == "200 OK" && err == nil {
					continue
				}
				mu.Lock()
				unserved = append(unserved, fmt.Sprintf("%s: %s, %v", id, status, err))
				mu.Unlock()
			}
		})
	}
	running.Wait()
	return unserved
}
