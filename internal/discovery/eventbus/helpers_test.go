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

// encodeFrame returns a frame whose payload is the records one after the other.
func encodeFrame(event uint64, kind frameKind, records ...[]byte) []byte {
	payload := bytes.Join(records, nil)
	b := binary.BigEndian.AppendUint32(nil, uint32(minFrameLength+len(payload)))
	b = append(binary.BigEndian.AppendUint64(b, event), byte(kind))
	return append(b, payload...)
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
	b := binary.BigEndian.AppendUint32(nil, r.id)
	b = append(b, r.ip[:]...)
	b = binary.BigEndian.AppendUint16(b, r.port)
	b = append(b, r.state, r.zone, r.kind)
	b = binary.BigEndian.AppendUint16(b, r.cell)
	b = binary.BigEndian.AppendUint32(b, r.weight)
	return binary.BigEndian.AppendUint64(b, r.startTime)
}

// options are what a test's watcher is made with.
type options struct {
	addr      string
	lastEvent uint64
	zones     []string
	kinds     []string
	sink      discovery.Sink
	log       slog.Handler // nil: nothing is logged
	configure func(*Watcher)
}

// startWatcher starts a watcher on a loop that runs until the test's end.
func startWatcher(t *testing.T, opts options) {
	t.Helper()
	loop, err := eventloop.New()
	discoverytest.Must(t, err)
	if opts.log == nil {
		opts.log = slog.DiscardHandler
	}
	w := New(loop, opts.addr, opts.lastEvent, opts.zones, opts.kinds, opts.sink, metrics.New(), slog.New(opts.log))
	if opts.configure != nil {
		opts.configure(w)
	}
	loop.Post(w.Start)
	eventlooptest.Run(t, loop)
	t.Cleanup(func() { eventlooptest.Do(loop, w.Stop) }) // before the loop stops
}

// disconnects is a log handler that passes on the reason of each lost connection and of
// each failed attempt to connect.
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
	record.Attrs(func(a slog.Attr) bool {
		if err, ok := a.Value.Any().(error); ok {
			d.reasons <- err
		}
		return true
	})
	return nil
}

// accept waits for the watcher's next connection and returns it with the number of the
// last event that the watcher sent.
func accept(t *testing.T, listener *net.TCPListener) (conn *net.TCPConn, lastEvent uint64) {
	t.Helper()
	discoverytest.Must(t, listener.SetDeadline(time.Now().Add(discoverytest.Patience)))
	conn, err := listener.AcceptTCP()
	discoverytest.Must(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	discoverytest.Must(t, conn.SetDeadline(time.Now().Add(discoverytest.Patience)))
	var number [8]byte
	_, err = io.ReadFull(conn, number[:])
	discoverytest.Must(t, err)
	return conn, binary.BigEndian.Uint64(number[:])
}
