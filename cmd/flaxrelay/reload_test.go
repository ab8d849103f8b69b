package main

import (
	"encoding/binary"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"flaxrelay/internal/tcptest"
)

// startEventBus starts an event bus that responds to each subscription with one event of the given
// number. For each subscription, the channel receives the number of the event after which the subscription starts.
func startEventBus(t *testing.T, eventNumber uint64) (address string, subscriptions <-chan uint64) {
	t.Helper()
	const (
		eventLength = 9 // bytes of the number and the kind
		emptyDelta  = 2 // the kind of an event with changed engines; this event has no engines
	)
	listener := tcptest.Listen(t, tcptest.AnyLoopbackPort)
	received := make(chan uint64, 10)
	event := binary.BigEndian.AppendUint32(nil, eventLength)
	event = binary.BigEndian.AppendUint64(event, eventNumber)
	event = append(event, emptyDelta)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { closeQuietly(conn) })
			lastEvent := make([]byte, 8)
			if _, err := io.ReadFull(conn, lastEvent); err != nil {
				continue
			}
			// The event is sent before the test learns of the subscription, so that a reload cannot precede
			// it. The front end may have disconnected already.
			_, _ = conn.Write(event)
			received <- binary.BigEndian.Uint64(lastEvent)
		}
	}()
	return listener.Addr().String(), received
}

// configWithBus returns the example configuration with an event bus.
func configWithBus(t *testing.T, address string) string {
	t.Helper()
	listenAndBus := fmt.Sprintf(`%q, "bus": %q`, tcptest.AnyLoopbackPort, address)
	return strings.Replace(readFile(t, exampleConfig), `"`+exampleListenAddress+`"`, listenAndBus, 1)
}

// twoBusSetup is a front end that watches the first of two event buses.
type twoBusSetup struct {
	process             *process
	path                string // path of the front end's configuration
	firstSubscriptions  <-chan uint64
	secondBus           string // address
	secondSubscriptions <-chan uint64
}

// startWithTwoBuses starts two event buses, whose latest events have the numbers 7 and 8, and a front end.
func startWithTwoBuses(t *testing.T) twoBusSetup {
	t.Helper()
	firstBus, firstSubscriptions := startEventBus(t, 7)
	secondBus, secondSubscriptions := startEventBus(t, 8)
	path := writeConfig(t, configWithBus(t, firstBus))
	p := startProcess(t, configVariable, path)
	p.awaitAddress()
	return twoBusSetup{
		process: p, path: path, firstSubscriptions: firstSubscriptions,
		secondBus: secondBus, secondSubscriptions: secondSubscriptions,
	}
}

// A reload with an invalid file is logged and changes nothing. After a reload with a valid file, the server
// watches the event bus in the file and continues after the last event.
func TestReload_MovesToTheNewEventBus(t *testing.T) {
	if serveInChild(t) {
		return
	}
	s := startWithTwoBuses(t)
	if got := <-s.firstSubscriptions; got != 1 {
		t.Errorf("the first bus got a subscription after event %d, want 1", got)
	}
	for _, invalid := range []string{"{", configWithBus(t, "nowhere"), readFile(t, exampleConfig)} {
		writeFile(t, s.path, invalid)
		s.process.signal(syscall.SIGHUP)
		s.process.awaitLog("the previous configuration stays in use")
	}
	writeFile(t, s.path, configWithBus(t, s.secondBus))
	s.process.signal(syscall.SIGHUP)
	s.process.awaitLog("eventbus.moved")
	if got := <-s.secondSubscriptions; got != 7 {
		t.Errorf("the second bus got a subscription after event %d, want 7, the last event of the first bus", got)
	}
	s.process.shutDown("count reload.completed 1")
}

// A reload with a deploy file that names an unknown class changes nothing. A reload with another Consul
// address makes the server query that address.
func TestReload_OfTheDeployFileChangesConsul(t *testing.T) {
	if serveInChild(t) {
		return
	}
	dir := t.TempDir()
	writeFile(t, filepath.Join(dir, filepath.Base(exampleSettings)), readFile(t, exampleSettings))
	deploy := strings.NewReplacer(
		examplePostgresAddress, tcptest.AnyLoopbackPort,
		exampleConsulAddress, closedLoopbackPort,
	).Replace(readFile(t, exampleDeploy))
	path := filepath.Join(dir, "postgres.toml")
	writeFile(t, path, deploy)
	p := startProcess(t, postgresVariable, path)
	p.awaitAddress()
	writeFile(t, path, strings.Replace(deploy, `default_class = "lookup"`, `default_class = "odd"`, 1))
	p.signal(syscall.SIGHUP)
	p.awaitLog("default_class")
	writeFile(t, path, strings.Replace(deploy, closedLoopbackPort, otherClosedLoopbackPort, 1))
	p.signal(syscall.SIGHUP)
	p.awaitLog("reload.completed")
	p.awaitLog("consul=" + otherClosedLoopbackPort)
	p.shutDown("count reload.failed 1")
}

// If the file cannot be read for a moment, the reload succeeds as soon as the file can be read, without
// another signal.
func TestReload_RetriesAFileThatCannotBeRead(t *testing.T) {
	if serveInChild(t) {
		return
	}
	s := startWithTwoBuses(t)
	<-s.firstSubscriptions
	if err := os.Remove(s.path); err != nil {
		t.Fatal(err)
	}
	s.process.signal(syscall.SIGHUP)
	s.process.awaitLog("reload.failed")
	writeFile(t, s.path, configWithBus(t, s.secondBus))
	select {
	case <-s.secondSubscriptions:
	case <-time.After(2 * time.Second):
		t.Error("the file was not read again")
	}
	s.process.shutDown("count reload.completed 1")
}
