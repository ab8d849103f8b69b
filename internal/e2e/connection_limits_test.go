package e2e

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"flaxrelay/policy"
)

// Past the limit of client connections the one that has been idle longest is closed, after those
// that never sent a complete request. A connection with a request in flight stays, and so does
// an idle one while there is capacity.
func TestConnectionLimit_EvictsTheLongestIdleClient(t *testing.T) {
	addr, seen := startLineEngine(t, noReply)
	front := newFrontEnd(t, nil)
	front.httpOptions.MaxClients, front.httpOptions.ReadTimeout = 4, time.Minute
	front.serveHTTP(addr)
	connectHTTP(t, front.addr).send(queryRequest("lookup", ""))
	await(t, seen)
	var idle []*httpClient
	for range 2 {
		client := connectHTTP(t, front.addr)
		client.roundTrip(bareHealthRequest)
		idle = append(idle, client)
	}
	silent := connectHTTP(t, front.addr)
	next := connectHTTP(t, front.addr)
	next.roundTrip(bareHealthRequest)
	silent.assertClosed()
	connectHTTP(t, front.addr).roundTrip(bareHealthRequest)
	idle[0].assertClosed()
	for _, client := range []*httpClient{idle[1], next} {
		got, _ := client.roundTrip(bareHealthRequest)
		assertEqual(t, "client that was idle for less time", got, "200 {}")
	}
	front.assertCount("requests.disconnected.", 0)
}

// Past the limit of engine connections the one that has been idle longest is closed; where all
// are in use a request is rejected at once, and no connection is opened.
func TestConnectionLimit_EvictsTheLongestIdleEngineConnection(t *testing.T) {
	first, _ := startLineEngine(t, emptyReply)
	second, _ := startLineEngine(t, emptyReply)
	unresponsive, seen := startLineEngine(t, noReply)
	last, _ := startLineEngine(t, emptyReply)
	front := newFrontEnd(t, nil)
	front.maxEngineConnections, front.maxStreams = 2, 1
	front.serveHTTP()
	client := connectHTTP(t, front.addr)
	queryOnly := func(addr string) string { // while no other engine is ready
		front.updateEndpoints(policy.EngineReady, addr)
		defer front.updateEndpoints(policy.EngineDraining, addr)
		got, _ := client.roundTrip(queryRequest("lookup", ""))
		return got
	}
	assertEqual(t, "first", queryOnly(first), emptyResult)
	assertEqual(t, "second", queryOnly(second), emptyResult)
	front.assertCount("engine-connections.evicted", 0)
	front.updateEndpoints(policy.EngineReady, unresponsive)
	for n := range 2 { // each takes a connection of its own
		connectHTTP(t, front.addr).send(withID(queryRequest("lookup", ""), numberedID(n+1)))
		await(t, seen)
	}
	front.updateEndpoints(policy.EngineDraining, unresponsive)
	front.assertCount("engine-connections.evicted", 2)
	dialed := front.count("engine-connections.dialed")
	assertEqual(t, "all in use", queryOnly(last), busyResult)
	front.assertCount("engine-connections.dialed", dialed)
}

const (
	// descriptorTestEnv marks the process that TestDescriptorLimit starts for the front end.
	descriptorTestEnv = "FLAXRELAY_DESCRIPTOR_TEST_CHILD"
	// descriptorLimit bounds the descriptors of that process.
	descriptorLimit = 40
	// readyPrefix stands before the address in the line that the process prints.
	readyPrefix = "serving at "
)

// startLimitedFrontEnd starts an HTTP front end in a process with few descriptors, which runs the
// named test and lives until the end of this one.
func startLimitedFrontEnd(t *testing.T) (addr string) {
	t.Helper()
	cmd := exec.Command(os.Args[0], "-test.run=^"+t.Name()+"$")
	cmd.Env = append(os.Environ(), descriptorTestEnv+"=1")
	in, err := cmd.StdinPipe()
	if err != nil {
		t.Fatal(err)
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = in.Close(); _ = cmd.Wait() })
	line, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		t.Fatal(err)
	}
	return strings.TrimSpace(strings.TrimPrefix(line, readyPrefix))
}

// serveWithLimitedDescriptors is what that process does, until its standard input ends.
func serveWithLimitedDescriptors(t *testing.T) {
	t.Helper()
	limit := syscall.Rlimit{Cur: descriptorLimit, Max: descriptorLimit}
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		t.Fatal(err)
	}
	fmt.Println(readyPrefix + startHTTP(t).addr)
	_, _ = io.Copy(io.Discard, os.Stdin)
}

// A full descriptor table neither ends the program nor disturbs the connected clients. Clients
// that wait are served once others leave, and none is rejected.
func TestDescriptorLimit_WaitingClientsAreServedOnceOthersLeave(t *testing.T) {
	if os.Getenv(descriptorTestEnv) != "" {
		serveWithLimitedDescriptors(t)
		return
	}
	const allClients, leavingClients = 60, 50
	addr := startLimitedFrontEnd(t)
	var clients []*httpClient
	for range allClients {
		clients = append(clients, connectHTTP(t, addr))
	}
	got, _ := clients[0].roundTrip(bareHealthRequest)
	assertEqual(t, "first client", got, "200 {}")
	for _, client := range clients[:leavingClients] {
		client.close()
	}
	for _, client := range clients[leavingClients:] {
		got, _ := client.roundTrip(bareHealthRequest)
		assertEqual(t, "client that waited", got, "200 {}")
	}
}
