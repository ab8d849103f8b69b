package soak

import (
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"flaxrelay/internal/lab/fake"
)

// engineState is the state of an engine on the bus, by its number in an event.
type engineState byte

const (
	stateReady engineState = iota
	stateDraining
	stateRemoved
)

// stateNames are the names of the states in a configuration.
var stateNames = [...]string{
	stateReady:    "in_service",
	stateDraining: "terminating",
	stateRemoved:  "terminated",
}

// listEntry is an engine of the endpoint list.
type listEntry struct {
	id     uint32
	addr   netip.AddrPort
	state  engineState
	bootMS int64 // start by the engine's clock, in Unix milliseconds; 0: it started long ago
}

func (e *listEntry) name() string { return fmt.Sprintf("s-%08x", e.id) }

// busMode is the behaviour of the bus.
type busMode int

const (
	busNormal     busMode = iota
	busDown               // open and new connections are closed at once
	busSilent             // connections stay open and nothing is sent
	busTruncating         // half of the next event is sent, and its connection closes
)

// eventBus publishes changes of the endpoint list. It is safe for concurrent use.
type eventBus struct {
	mu       sync.Mutex // guards the fields below
	listener net.Listener
	mode     busMode
	entries  map[uint32]listEntry
	events   [][]listEntry // the entries that each event changed
	changed  chan struct{} // closed and replaced when mode or events change
}

func newEventBus() (*eventBus, error) {
	b := &eventBus{entries: map[uint32]listEntry{}, changed: make(chan struct{})}
	return b, b.move()
}

// move opens a listener at a new address and closes the old listener. Open connections of the old
// listener are closed closeAfter later.
func (b *eventBus) move() error {
	const (
		closeAfter   = 1500 * time.Millisecond
		pollInterval = closeAfter / 10
	)
	listener, err := fake.Listen("127.0.0.1:0")
	if err != nil {
		return err
	}
	b.mu.Lock()
	old := b.listener
	b.listener = listener
	b.mu.Unlock()
	moved := make(chan struct{})
	go b.accept(listener, moved)
	if old != nil {
		_ = old.Close()
	}
	go func() {
		for b.listensAt(listener) {
			time.Sleep(pollInterval)
		}
		time.Sleep(closeAfter)
		close(moved)
	}()
	return nil
}

// listensAt reports whether the listener is the current one.
func (b *eventBus) listensAt(listener net.Listener) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.listener == listener
}

func (b *eventBus) close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	_ = b.listener.Close()
	b.listener = nil
}

func (b *eventBus) addr() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.listener.Addr().String()
}

// setMode changes how the bus behaves.
func (b *eventBus) setMode(mode busMode) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.mode = mode
	b.wakeConnections()
}

// wakeConnections makes the connections read the changed state. The caller must hold mu.
func (b *eventBus) wakeConnections() {
	close(b.changed)
	b.changed = make(chan struct{})
}

// publish adds an event that changes the entries.
func (b *eventBus) publish(entries ...listEntry) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, entry := range entries {
		b.entries[entry.id] = entry
	}
	b.events = append(b.events, entries)
	b.wakeConnections()
}

// known returns the events so far in the form of a front end's configuration: one event with the complete
// list.
func (b *eventBus) known() fake.KnownEvents {
	b.mu.Lock()
	defer b.mu.Unlock()
	targets := []fake.Target{}
	for _, entry := range b.entries {
		if entry.state != stateRemoved {
			targets = append(targets, fake.Target{
				UID: entry.name(), Endpoint: entry.addr.String(), AZ: engineZone, Model: engineKind,
				State: stateNames[entry.state], CapacityHint: 1, BootMS: entry.bootMS,
			})
		}
	}
	return fake.KnownList(len(b.events), targets)
}

func (b *eventBus) accept(listener net.Listener, moved <-chan struct{}) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = conn.Close() }()
			b.serve(conn, moved)
		}()
	}
}

// busView is a copy of the state of the bus for one connection.
type busView struct {
	mode      busMode
	changed   <-chan struct{}
	published int    // number of events so far
	frame     []byte // the next event for the connection; nil: it has been sent all events
}

// view returns the current state of the bus for a connection that has been sent the given number of
// events.
func (b *eventBus) view(sent int) busView {
	b.mu.Lock()
	defer b.mu.Unlock()
	view := busView{mode: b.mode, changed: b.changed, published: len(b.events)}
	if sent < len(b.events) {
		view.frame = encodeFrame(sent+1, eventFrame, b.events[sent])
	}
	return view
}

// serve reads the offset of a connection, sends the events from there on, and a heartbeat each second.
func (b *eventBus) serve(conn net.Conn, moved <-chan struct{}) {
	const overlap = 1 // number of events that are sent although the front end already has them
	sent, err := readResumeOffset(conn)
	if err != nil {
		return
	}
	sent = max(sent-overlap, 0)
	for {
		view := b.view(sent)
		switch {
		case view.mode == busDown:
			return
		case view.mode == busTruncating && view.frame != nil:
			_, _ = conn.Write(view.frame[:len(view.frame)/2])
			return
		case view.mode != busSilent && view.frame != nil:
			if _, err := conn.Write(view.frame); err != nil {
				return
			}
			sent++
			continue
		}
		select {
		case <-view.changed:
		case <-moved:
			return
		case <-time.After(fake.BusHeartbeat):
			if view.mode == busSilent {
				continue
			}
			if _, err := conn.Write(encodeFrame(view.published, heartbeatFrame, nil)); err != nil {
				return
			}
		}
	}
}

// readResumeOffset reads the first message of a connection: the number of the last event that the
// front end has received.
func readResumeOffset(conn net.Conn) (int, error) {
	request := make([]byte, fake.BusRequestLength)
	if _, err := io.ReadFull(conn, request); err != nil {
		return 0, fmt.Errorf("read the offset of a watch: %w", err)
	}
	return int(binary.BigEndian.Uint64(request)), nil
}

// frameKind is the kind of a frame of the bus, by its number.
type frameKind byte

const (
	heartbeatFrame frameKind = 0
	eventFrame     frameKind = 2
)

// encodeFrame encodes an event with its number, or a heartbeat with the number of the last event.
func encodeFrame(number int, kind frameKind, entries []listEntry) []byte {
	const capacityHint = 1000 // thousandths
	body := append(binary.BigEndian.AppendUint64(nil, uint64(number)), byte(kind))
	for _, entry := range entries {
		ip := entry.addr.Addr().As4()
		body = binary.BigEndian.AppendUint32(body, entry.id)
		body = append(body, ip[:]...)
		body = binary.BigEndian.AppendUint16(body, entry.addr.Port())
		body = append(body, byte(entry.state), 0, 0, 0, 0)
		body = binary.BigEndian.AppendUint32(body, capacityHint)
		body = binary.BigEndian.AppendUint64(body, uint64(entry.bootMS))
	}
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(body))), body...)
}
