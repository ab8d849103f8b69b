package main

import (
	"encoding/binary"
	"encoding/hex"
	"io"
	"net"
	"strconv"
	"sync"
	"time"
)

// busRecord is an engine in an event of the event bus.
type busRecord struct {
	id, address       string
	state, zone, kind byte
	cell              int
	startedMS         int64
}

func (r busRecord) encode() []byte {
	id, _ := hex.DecodeString(r.id[len("s-"):])
	host, port, _ := net.SplitHostPort(r.address)
	number, _ := strconv.Atoi(port)
	b := append(id, net.ParseIP(host).To4()...)
	b = append(b, number16(number)...)
	b = append(b, r.state, r.zone, r.kind)
	b = append(b, number16(r.cell)...)
	b = append(b, number32(1000)...)
	return binary.BigEndian.AppendUint64(b, uint64(r.startedMS))
}

// eventBus is a stand-in for the event bus. Its first event, of number 1, is in the configurations.
type eventBus struct {
	mu      sync.Mutex
	events  [][]byte // frames of the events 2, 3, ...
	changed chan struct{}
}

func newEventBus() (*eventBus, string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	b := &eventBus{changed: make(chan struct{})}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				b.serve(conn)
				_ = conn.Close()
			}()
		}
	}()
	return b, l.Addr().String(), nil
}

func busFrame(number uint64, kind byte, payload []byte) []byte {
	b := binary.BigEndian.AppendUint32(nil, uint32(9+len(payload)))
	b = binary.BigEndian.AppendUint64(b, number)
	return append(append(b, kind), payload...)
}

// publish adds an event with changes of the list.
func (b *eventBus) publish(records ...busRecord) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var payload []byte
	for _, r := range records {
		payload = append(payload, r.encode()...)
	}
	b.events = append(b.events, busFrame(uint64(len(b.events)+2), 2, payload))
	close(b.changed)
	b.changed = make(chan struct{})
}

func (b *eventBus) serve(conn net.Conn) {
	head := make([]byte, 8)
	if _, err := io.ReadFull(conn, head); err != nil {
		return
	}
	next := int(binary.BigEndian.Uint64(head)) - 1 // index of the next event
	for {
		b.mu.Lock()
		events, changed := b.events, b.changed
		b.mu.Unlock()
		for ; next < len(events); next++ {
			if _, err := conn.Write(events[max(next, 0)]); err != nil {
				return
			}
		}
		select {
		case <-changed:
		case <-time.After(time.Second):
			if _, err := conn.Write(busFrame(uint64(len(events)+1), 0, nil)); err != nil {
				return
			}
		}
	}
}
