package main

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"syscall"
	"testing"
	"time"

	"flaxrelay/internal/tcptest"
)

// smallTable is a limit on descriptors. The clients and the engines of the test together need more.
const smallTable = 64

// While the event bus is down, idle clients open as many connections as they can, and requests go to as
// many engines as there are descriptors. Requests and health checks still get responses, and discovery
// has a descriptor to reconnect with when the bus returns.
func TestDiscovery_ReconnectsWhenDescriptorsRunOut(t *testing.T) {
	limitDescriptorsOfChild(t)
	if serveInChild(t) {
		return
	}
	busAddress := unusedAddress(t)
	p := startProcess(t, configVariable, writeConfig(t, smallTableConfig(t, busAddress)))
	address := p.awaitAddress()
	logEnded := make(chan struct{})
	go func() {
		defer close(logEnded)
		p.drainLog()
	}()

	client := newHTTPClient(t, address, 15*time.Second)
	client.expectOK(healthRequest)
	for range 3 * smallTable { // some are not accepted, some evict other connections
		dial(t, address)
	}
	for i := range 8 * smallTable {
		client.expectOK(lookupRequest(sequentialRequestID(i)))
	}
	expectSubscription(t, busAddress)
	client.expectOK(healthRequest)
	p.signal(syscall.SIGTERM)
	<-logEnded
	p.wait()
}

// limitDescriptorsOfChild lowers the limit on descriptors if startProcess started this process.
func limitDescriptorsOfChild(t *testing.T) {
	t.Helper()
	if !inChild() {
		return
	}
	limit := syscall.Rlimit{Cur: smallTable, Max: smallTable}
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		t.Fatal(err)
	}
}

// unusedAddress returns an address without a listener. Outgoing connections do not use its host, so no
// outgoing connection can get the port.
func unusedAddress(t *testing.T) string {
	t.Helper()
	listener := tcptest.Listen(t, "127.0.0.77:0")
	closeQuietly(listener)
	return listener.Addr().String()
}

// smallTableConfig returns a configuration with as many engines as there are descriptors.
func smallTableConfig(t *testing.T, busAddress string) string {
	t.Helper()
	var configuration map[string]any
	if err := json.Unmarshal([]byte(readFile(t, exampleConfig)), &configuration); err != nil {
		t.Fatal(err)
	}
	var targets []any
	for i := range smallTable {
		targets = append(targets, map[string]any{
			"uid": fmt.Sprintf("s-%08x", i), "endpoint": startEngine(t, respondWithoutRows),
			"az": "hall-a", "model": "std-8", "pod_group": 0, "state": "in_service", "capacity_hint": 1, "boot_ms": 0,
		})
	}
	configuration["listen"] = tcptest.AnyLoopbackPort
	configuration["bus"] = busAddress
	configuration["limits"] = map[string]any{"cores": 1, "memory_mb": 192, "sockets": smallTable}
	configuration["known"] = map[string]any{"offset": 1, "batch": []any{map[string]any{
		"offset": 1, "topology": map[string]any{"rev": 1, "all": true, "targets": targets},
	}}}
	raw, err := json.Marshal(configuration)
	if err != nil {
		t.Fatal(err)
	}
	return string(raw)
}

// expectSubscription starts the event bus and checks that the front end connects to it in time and
// requests the events after event 1.
func expectSubscription(t *testing.T, busAddress string) {
	t.Helper()
	bus := tcptest.Listen(t, busAddress)
	if err := bus.SetDeadline(time.Now().Add(3 * time.Second)); err != nil {
		t.Fatal(err)
	}
	conn, err := bus.Accept()
	if err != nil {
		t.Fatalf("no connection after the event bus returned: %v", err)
	}
	t.Cleanup(func() { closeQuietly(conn) })
	var lastEvent uint64
	if err := binary.Read(conn, binary.BigEndian, &lastEvent); err != nil || lastEvent != 1 {
		t.Errorf("the subscription starts after event %d, want 1; error %v", lastEvent, err)
	}
}
