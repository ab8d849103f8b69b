package soak

import (
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"flaxrelay/internal/lab/fake"
)

// busMode is the behavior of the bus.
type busMode int

const (
	busNormal     busMode = iota
	busDown               // open and new connections are closed at once
	busSilent             // connections stay open and nothing is sent
	busTruncating         // each connection is closed after half of the next event has been sent
)

// busListener is a listener of the bus. The listener is closed before the connections that it has accepted.
type busListener struct {
	net.Listener

	ended chan struct{} // closed when the accepted connections must be closed
}

// eventBus publishes changes of the endpoint list. It is safe for concurrent use.
type eventBus struct {
	mu        sync.Mutex // guards the fields below
	listener  *busListener
	mode      busMode
	endpoints map[uint32]endpoint // by id
	events    []endpoint          // for each event, the changed endpoint in its new state
	changed   chan struct{}       // closed and replaced when mode or events change
}

func newEventBus() (*eventBus, error) {
	b := &eventBus{endpoints: map[uint32]endpoint{}, changed: make(chan struct{})}
	return b, b.move()
}

// move opens a listener at a new address and closes the old listener. Connections that the old listener
// has accepted are closed closeAfter later.
func (b *eventBus) move() error {
	const closeAfter = 1500 * time.Millisecond
	opened, err := fake.Listen(fake.AnyLoopbackPort)
	if err != nil {
		return err
	}
	listener := &busListener{Listener: opened, ended: make(chan struct{})}
	b.mu.Lock()
	old := b.listener
	b.listener = listener
	b.mu.Unlock()
	go b.accept(listener)
	if old != nil {
		_ = old.Close()
		time.AfterFunc(closeAfter, func() { close(old.ended) })
	}
	return nil
}

// close closes the listener and its connections.
func (b *eventBus) close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	_ = b.listener.Close()
	close(b.listener.ended)
}

func (b *eventBus) addr() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.listener.Addr().String()
}

func (b *eventBus) setMode(mode busMode) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.mode = mode
	b.wakeConnections()
}

// wakeConnections makes the goroutines that serve connections read the changed state. The caller must hold mu.
func (b *eventBus) wakeConnections() {
	close(b.changed)
	b.changed = make(chan struct{})
}

// publish adds an event that adds or changes an endpoint.
func (b *eventBus) publish(e endpoint) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.endpoints[e.id] = e
	b.events = append(b.events, e)
	b.wakeConnections()
}

// known returns the published events in the format of a front end's configuration: a single event with
// the complete endpoint list.
func (b *eventBus) known() fake.KnownEvents {
	b.mu.Lock()
	defer b.mu.Unlock()
	targets := []fake.Target{}
	for _, e := range b.endpoints {
		if e.state != stateRemoved {
			targets = append(targets, e.target())
		}
	}
	return fake.KnownList(len(b.events), targets)
}

// accept serves each connection of a listener until the listener is closed. It does not close the accepted
// connections then, unlike the servers of the package fake.
func (b *eventBus) accept(listener *busListener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = conn.Close() }()
			b.serve(conn, listener.ended)
		}()
	}
}

// busView is a copy of the state of the bus for one connection.
type busView struct {
	mode      busMode
	changed   <-chan struct{}
	published int    // number of events so far
	frame     []byte // the next event for the connection; nil: all events have been sent
}

// view returns the current state of the bus for a connection. sent is the number of events that have been
// sent on the connection.
func (b *eventBus) view(sent int) busView {
	b.mu.Lock()
	defer b.mu.Unlock()
	view := busView{mode: b.mode, changed: b.changed, published: len(b.events)}
	if sent < len(b.events) {
		view.frame = fake.BusFrame(uint64(sent+1), fake.BusFrameDelta, b.events[sent].record())
	}
	return view
}

// serve reads the subscription of a front end. Until ended is closed, it then sends the events that the front end
// has not received, and a heartbeat after each second without a change of the bus.
func (b *eventBus) serve(conn net.Conn, ended <-chan struct{}) {
	const overlap = 1 // number of events that are sent again although the front end has received them
	lastEvent, err := readSubscription(conn)
	if err != nil {
		return
	}
	sent := max(lastEvent-overlap, 0)
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
		case <-ended:
			return
		case <-time.After(fake.BusHeartbeatInterval):
			if view.mode == busSilent {
				continue
			}
			heartbeat := fake.BusFrame(uint64(view.published), fake.BusFrameHeartbeat, nil)
			if _, err := conn.Write(heartbeat); err != nil {
				return
			}
		}
	}
}

// readSubscription reads the first message of a connection: the number of the last event that the front
// end has received.
func readSubscription(conn net.Conn) (lastEvent int, err error) {
	subscription := make([]byte, fake.BusSubscriptionLength)
	if _, err := io.ReadFull(conn, subscription); err != nil {
		return 0, fmt.Errorf("read a subscription: %w", err)
	}
	return int(binary.BigEndian.Uint64(subscription)), nil
}
