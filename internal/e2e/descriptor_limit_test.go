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
)

const (
	// descriptorTestEnv is set in the child process that a descriptor limit test starts for the front end.
	descriptorTestEnv = "FLAXRELAY_DESCRIPTOR_TEST_CHILD"
	// descriptorLimit is the descriptor limit of the child process.
	descriptorLimit = 40
	// readyPrefix precedes the address in the line that the child process prints.
	readyPrefix = "serving at "
)

// startLimitedFrontEnd starts an HTTP front end in a child process with few descriptors. The child process runs the
// same test as its parent, and exits at the end of the test in the parent.
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

// serveWithLimitedDescriptors serves in the child process until its standard input is closed.
func serveWithLimitedDescriptors(t *testing.T) {
	t.Helper()
	limit := syscall.Rlimit{Cur: descriptorLimit, Max: descriptorLimit}
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		t.Fatal(err)
	}
	fmt.Println(readyPrefix + startHTTP(t).addr)
	_, _ = io.Copy(io.Discard, os.Stdin)
}

// If all descriptors are in use, the program keeps running and serves the connected clients. Clients that wait are
// served once others disconnect, and no client is rejected.
func TestDescriptorLimit_WaitingClientsAreServedOnceOthersDisconnect(t *testing.T) {
	if os.Getenv(descriptorTestEnv) != "" {
		serveWithLimitedDescriptors(t)
		return
	}
	const (
		allClients           = 60
		disconnectingClients = 50
	)
	addr := startLimitedFrontEnd(t)
	var clients []*httpClient
	for range allClients {
		clients = append(clients, connectHTTP(t, addr))
	}
	got, _ := clients[0].roundTrip(bareHealthRequest)
	assertEqual(t, "first client", got, "200 {}")
	for _, client := range clients[:disconnectingClients] {
		client.close()
	}
	for _, client := range clients[disconnectingClients:] {
		got, _ := client.roundTrip(bareHealthRequest)
		assertEqual(t, "client that waited", got, "200 {}")
	}
}
