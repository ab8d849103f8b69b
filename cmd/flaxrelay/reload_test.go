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

// startEventBus accepts subscriptions and answers each with one event of the given
// number. The channel gets the event number that each subscription starts from.
func startEventBus(t *testing.T, eventNumber uint64) (address string, subscriptions <-chan uint64) {
	t.Helper()
	const (
		eventLength    = 9
		unchangedEvent = 2 // the kind of an event that changes nothing
	)
	listener := tcptest.Listen(t, tcptest.AnyLoopbackPort)
	received := make(chan uint64, 10)
	event := binary.BigEndian.AppendUint32(nil, eventLength)
	event = append(binary.BigEndian.AppendUint64(event, eventNumber), unchangedEvent)
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
			received <- binary.BigEndian.Uint64(lastEvent)
			_, _ = conn.Write(event) // the front end may have left already
		}
	}()
	return listener.Addr().String(), received
}

// shutDown ends the process and checks that it ends well, having printed the text.
func (p *process) shutDown(text string) {
	p.t.Helper()
	p.signal(syscall.SIGTERM)
	p.awaitLog(text)
	p.drainLog()
	p.wait()
}

// A SIGHUP reloads the configuration: a file that can't be used is logged and changes
// nothing, a good one moves the server to its event bus, from the last event taken. The
// server goes on serving.
func TestReloadMovesToTheNewEventBus(t *testing.T) {
	if serveInChild(t) {
		return
	}
	firstBus, firstSubscriptions := startEventBus(t, 7)
	secondBus, secondSubscriptions := startEventBus(t, 8)
	example := readFile(t, exampleConfig)
	configWithBus := func(bus string) string {
		return strings.Replace(example, `"`+exampleListenAddress+`"`, fmt.Sprintf(`%q, "bus": %q`, tcptest.AnyLoopbackPort, bus), 1)
	}
	path := filepath.Join(t.TempDir(), "config.json")
	writeFile(t, path, configWithBus(firstBus))
	p := startProcess(t, configVariable, path)
	p.awaitLog("server.listening")
	if got := <-firstSubscriptions; got != 1 {
		t.Errorf("the first bus got a subscription from event %d", got)
	}
	for _, bad := range []string{"{", configWithBus("nowhere"), example} {
		writeFile(t, path, bad)
		p.signal(syscall.SIGHUP)
		p.awaitLog("the old file holds")
	}
	writeFile(t, path, configWithBus(secondBus))
	p.signal(syscall.SIGHUP)
	p.awaitLog("eventbus.moved")
	if got := <-secondSubscriptions; got != 7 {
		t.Errorf("the second bus got a subscription from event %d, want the last event's number", got)
	}
	p.shutDown("count reload.completed 1")
}

// A SIGHUP reloads the deploy file of the PostgreSQL front end: one that names an unknown
// class changes nothing, one with another Consul address has the server ask there.
func TestReloadOfDeployFileChangesConsul(t *testing.T) {
	if serveInChild(t) {
		return
	}
	dir := t.TempDir()
	writeFile(t, filepath.Join(dir, filepath.Base(exampleSettings)), readFile(t, exampleSettings))
	deploy := strings.NewReplacer(examplePostgresAddress, tcptest.AnyLoopbackPort, exampleConsulAddress, closedLoopbackPort).
		Replace(readFile(t, exampleDeploy))
	path := filepath.Join(dir, "postgres.toml")
	writeFile(t, path, deploy)
	p := startProcess(t, postgresVariable, path)
	p.awaitLog("server.listening")
	writeFile(t, path, strings.Replace(deploy, `default_class = "lookup"`, `default_class = "odd"`, 1))
	p.signal(syscall.SIGHUP)
	p.awaitLog("default_class")
	writeFile(t, path, strings.Replace(deploy, closedLoopbackPort, otherClosedLoopbackPort, 1))
	p.signal(syscall.SIGHUP)
	p.awaitLog("reload.completed")
	p.awaitLog("consul=" + otherClosedLoopbackPort)
	p.shutDown("count reload.failed 1")
}

// A SIGHUP whose file can't be read for a moment, as without a free descriptor, is carried out
// as soon as it can be: no further signal comes for it.
func TestReloadOutlastsAFileThatCannotBeRead(t *testing.T) {
	if serveInChild(t) {
		return
	}
	firstBus, firstSubscriptions := startEventBus(t, 7)
	secondBus, secondSubscriptions := startEventBus(t, 8)
	configWithBus := func(bus string) string {
		return strings.Replace(readFile(t, exampleConfig), `"`+exampleListenAddress+`"`, fmt.Sprintf(`%q, "bus": %q`, tcptest.AnyLoopbackPort, bus), 1)
	}
	path := filepath.Join(t.TempDir(), "config.json")
	writeFile(t, path, configWithBus(firstBus))
	p := startProcess(t, configVariable, path)
	p.awaitLog("server.listening")
	<-firstSubscriptions
	if err := os.Remove(path); err != nil {
		t.Fatal(err)
	}
	p.signal(syscall.SIGHUP)
	p.awaitLog("reload.failed")
	writeFile(t, path, configWithBus(secondBus))
	select {
	case <-secondSubscriptions:
	case <-time.After(2 * time.Second):
		t.Error("the reload was given up")
	}
	p.shutDown("count reload.completed 1")
}
