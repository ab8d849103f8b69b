package soak

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"flaxrelay/internal/lab/fake"
)

// engineState is the state of an engine on the bus, by its number in a record.
type engineState byte

const (
	stateReady engineState = iota
	stateDraining
	stateGone
)

var stateNames = [...]string{"in_service", "terminating", "terminated"}

// listEntry is an engine of the endpoint list.
type listEntry struct {
	id     uint32
	addr   netip.AddrPort
	state  engineState
	bootMS int64 // by the engine's own clock; 0: it started long ago
}

func (e *listEntry) name() string { return fmt.Sprintf("s-%08x", e.id) }

// busEvent is a change of the list.
type busEvent struct{ entries []listEntry }

// busMode is how the bus behaves.
type busMode int

const (
	busNormal busMode = iota
	busDown           // connections are closed and new ones are closed at once
	busSilent         // connections stay open and bring nothing
	busTorn           // the next event breaks off in the middle, and its connection closes
)

// eventBus serves the events of the endpoint list.
type eventBus struct {
	mu       sync.Mutex
	listener net.Listener
	mode     busMode
	entries  map[uint32]listEntry
	events   []busEvent
	changed  chan struct{} // closed and replaced with each change of this struct
}

func newEventBus() (*eventBus, error) {
	b := &eventBus{entries: map[uint32]listEntry{}, changed: make(chan struct{})}
	return b, b.move()
}

// move opens a new address. The old one takes no new connections from then on, and closes the
// open ones after a while.
func (b *eventBus) move() error {
	const closeAfter = 1500 * time.Millisecond
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
		for b.current(listener) {
			time.Sleep(closeAfter / 10)
		}
		time.Sleep(closeAfter)
		close(moved)
	}()
	return nil
}

func (b *eventBus) current(listener net.Listener) bool {
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
	b.notify()
}

// notify wakes the connections. The caller holds mu.
func (b *eventBus) notify() {
	close(b.changed)
	b.changed = make(chan struct{})
}

// tell adds an event.
func (b *eventBus) tell(entries ...listEntry) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, entry := range entries {
		b.entries[entry.id] = entry
	}
	b.events = append(b.events, busEvent{entries: entries})
	b.notify()
}

// known returns what a front end's configuration holds of the events so far.
func (b *eventBus) known() json.RawMessage {
	b.mu.Lock()
	defer b.mu.Unlock()
	targets := []map[string]any{}
	for _, entry := range b.entries {
		if entry.state != stateGone {
			targets = append(targets, map[string]any{
				"uid": entry.name(), "endpoint": entry.addr.String(), "az": "hall-a", "model": "std-8", "pod_group": 0,
				"state": stateNames[entry.state], "capacity_hint": 1, "boot_ms": entry.bootMS,
			})
		}
	}
	topology := map[string]any{"rev": len(b.events), "all": true, "targets": targets}
	event := map[string]any{"offset": len(b.events), "topology": topology}
	encoded, err := json.Marshal(map[string]any{"offset": len(b.events), "batch": []any{event}})
	if err != nil {
		panic(err) // all of it can be encoded
	}
	return encoded
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

// serve sends the events after the one that the connection names, and a heartbeat each second.
func (b *eventBus) serve(conn net.Conn, moved <-chan struct{}) {
	request := make([]byte, 8)
	if _, err := io.ReadFull(conn, request); err != nil {
		return
	}
	const overlap = 1 // an event that the front end has already is sent again
	next := max(int(binary.BigEndian.Uint64(request))-overlap, 0)
	for {
		b.mu.Lock()
		mode, changed, total := b.mode, b.changed, len(b.events)
		var frame []byte
		if next < total {
			frame = encodeFrame(uint64(next+1), 2, b.events[next].entries)
		}
		b.mu.Unlock()
		switch {
		case mode == busDown:
			return
		case mode == busTorn && frame != nil:
			_, _ = conn.Write(frame[:len(frame)/2])
			return
		case mode != busSilent && frame != nil:
			if _, err := conn.Write(frame); err != nil {
				return
			}
			next++
			continue
		}
		select {
		case <-changed:
		case <-moved:
			return
		case <-time.After(time.Second):
			if mode != busSilent {
				if _, err := conn.Write(encodeFrame(uint64(total), 0, nil)); err != nil {
					return
				}
			}
		}
	}
}

// encodeFrame encodes an event, or a heartbeat.
func encodeFrame(number uint64, kind byte, entries []listEntry) []byte {
	body := append(binary.BigEndian.AppendUint64(nil, number), kind)
	for _, entry := range entries {
		ip := entry.addr.Addr().As4()
		body = binary.BigEndian.AppendUint32(body, entry.id)
		body = append(body, ip[:]...)
		body = binary.BigEndian.AppendUint16(body, entry.addr.Port())
		body = append(body, byte(entry.state), 0, 0, 0, 0)
		body = binary.BigEndian.AppendUint32(body, 1000)
		body = binary.BigEndian.AppendUint64(body, uint64(entry.bootMS))
	}
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(body))), body...)
}
