package eventbus

import (
	"bytes"
	"context"
	"encoding/binary"
	"io"
	"log/slog"
	"net"
	"testing"
	"time"

	"flaxrelay/internal/discovery"
	"flaxrelay/internal/discovery/discoverytest"
	"flaxrelay/internal/eventloop"
	"flaxrelay/internal/eventloop/eventlooptest"
	"flaxrelay/internal/metrics"
)

// encodeFrame encodes a frame whose payload is the concatenation of the records.
func encodeFrame(event uint64, kind frameKind, records ...[]byte) []byte {
	payload := bytes.Join(records, nil)
	encoded := binary.BigEndian.AppendUint32(nil, uint32(minFrameLength+len(payload)))
	encoded = binary.BigEndian.AppendUint64(encoded, event)
	encoded = append(encoded, byte(kind))
	return append(encoded, payload...)
}

// record is one engine as the bus sends it.
type record struct {
	id        uint32
	ip        [4]byte
	port      uint16
	state     byte
	zone      byte
	kind      byte
	cell      uint16
	weight    uint32
	startTime uint64
}

func (r record) encode() []byte {
	encoded := binary.BigEndian.AppendUint32(nil, r.id)
	encoded = append(encoded, r.ip[:]...)
	encoded = binary.BigEndian.AppendUint16(encoded, r.port)
	encoded = append(encoded, r.state, r.zone, r.kind)
	encoded = binary.BigEndian.AppendUint16(encoded, r.cell)
	encoded = binary.BigEndian.AppendUint32(encoded, r.weight)
	return binary.BigEndian.AppendUint64(encoded, r.startTime)
}

// watcherSetup describes the watcher of a test.
type watcherSetup struct {
	options     Options
	sink        discovery.Sink
	log         slog.Handler  // nil: nothing is logged
	idleTimeout time.Duration // 0: defaultIdleTimeout
}

// startWatcher starts a watcher on a loop that runs until the end of the test, and returns the loop.
func startWatcher(t *testing.T, setup watcherSetup) *eventloop.Loop {
	t.Helper()
	loop, err := eventloop.New()
	discoverytest.Must(t, err)
	if setup.log == nil {
		setup.log = slog.DiscardHandler
	}
	watcher := New(loop, setup.sink, setup.options, metrics.New(), slog.New(setup.log))
	if setup.idleTimeout > 0 {
		watcher.idleTimeout = setup.idleTimeout
	}
	loop.Post(watcher.Start)
	eventlooptest.Run(t, loop)
	t.Cleanup(func() { eventlooptest.Do(loop, watcher.Stop) }) // before the loop stops
	return loop
}

// disconnects is a log handler for the event eventbus.disconnected. It sends the error of each such event
// to a channel: the reason of each lost connection and of each failed attempt to connect.
type disconnects struct {
	slog.Handler
	reasons chan error
}

func newDisconnects() disconnects {
	return disconnects{Handler: slog.DiscardHandler, reasons: make(chan error, 1000)}
}

func (d disconnects) Enabled(context.Context, slog.Level) bool { return true }

func (d disconnects) Handle(_ context.Context, record slog.Record) error {
	if record.Message != "eventbus.disconnected" {
		return nil
	}
	record.Attrs(func(attribute slog.Attr) bool {
		if err, ok := attribute.Value.Any().(error); ok {
			d.reasons <- err
		}
		return true
	})
	return nil
}

// accept waits for the watcher's next connection. It returns the connection and the number of the last
// event, which the watcher sends first.
func accept(t *testing.T, listener *net.TCPListener) (conn *net.TCPConn, lastEvent uint64) {
	t.Helper()
	discoverytest.Must(t, listener.SetDeadline(time.Now().Add(discoverytest.Timeout)))
	conn, err := listener.AcceptTCP()
	discoverytest.Must(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	discoverytest.Must(t, conn.SetDeadline(time.Now().Add(discoverytest.Timeout)))
	var number [8]byte
	_, err = io.ReadFull(conn, number[:])
	discoverytest.Must(t, err)
	return conn, binary.BigEndian.Uint64(number[:])
}
