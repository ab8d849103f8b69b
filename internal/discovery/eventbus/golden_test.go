package eventbus

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"slices"
	"testing"

	"flaxrelay/internal/discovery/discoverytest"
	"flaxrelay/internal/golden"
	"flaxrelay/internal/lifecycle"
	"flaxrelay/internal/tcptest"
	"flaxrelay/policy"
)

const goldenFile = "testdata/golden/exchange.txt"

// modeNames are the names of the modes in the golden file.
var modeNames = map[policy.UpdateMode]string{policy.UpdateFull: "whole list", policy.UpdateDelta: "changes"}

// transcript is a sink that sends each notification as text, with one line for each engine.
type transcript chan string

func (c transcript) UpdateEndpoints(mode policy.UpdateMode, engines []lifecycle.Endpoint) {
	text := fmt.Sprintf("= %s of %d\n", modeNames[mode], len(engines))
	for _, engine := range engines {
		text += fmt.Sprintf("= %s at %s, zone %q, kind %q, cell %d, %s, late start %t at %v\n",
			engine.ID, engine.Address, engine.Zone, engine.Kind, engine.Cell, discoverytest.StateNames[engine.State],
			engine.StartKnown, engine.StartedAt)
	}
	c <- text
}

// session is the script of one connection to the bus, with its expected effects.
type session struct {
	frames          [][]byte
	notifications   []int // indexes of the frames after which the watcher notifies the sink
	closedByWatcher bool  // false: closed by the bus
}

// goldenIP is the address of the engines in the golden file.
var goldenIP = [4]byte{10, 18, 74, 7}

var sessions = []session{
	{notifications: []int{1, 3, 5, 6}, frames: [][]byte{
		encodeFrame(41, frameHeartbeat),
		encodeFrame(42, frameFull,
			record{id: 0x00c41f7a, ip: goldenIP, port: 9090, cell: 2, weight: 4000}.encode(),
			record{
				id: 0xffffffff, ip: goldenIP, port: 65535, state: 1, zone: 1, kind: 1, cell: 65535,
				startTime: 1764654000123,
			}.encode()),
		encodeFrame(42, frameHeartbeat),
		encodeFrame(43, frameDelta,
			record{id: 0x00c41f7a, ip: goldenIP, port: 9090, state: 2, cell: 2, weight: 4000}.encode()),
		// A repeated event.
		encodeFrame(43, frameDelta, record{id: 0x00c41f7a, ip: goldenIP, port: 9090, cell: 2, weight: 4000}.encode()),
		// A zone, a kind and a start time out of range.
		encodeFrame(1<<40, frameDelta,
			record{id: 1, ip: goldenIP, port: 80, zone: 7, kind: 9, startTime: 1 << 43}.encode()),
		encodeFrame(1<<40+1, frameDelta),
	}},
	{notifications: []int{0}, frames: [][]byte{encodeFrame(1<<40+2, frameFull)}},
	// The bus closes the connection inside a frame.
	{frames: [][]byte{encodeFrame(1<<40+3, frameDelta, record{id: 1, ip: goldenIP, port: 80}.encode())[:30]}},
	// A frame of an unknown kind.
	{closedByWatcher: true, frames: [][]byte{encodeFrame(1<<40+3, 3)}},
	// A payload whose length is not a multiple of the size of a record.
	{closedByWatcher: true, frames: [][]byte{encodeFrame(1<<40+3, frameDelta, []byte("no record"))}},
	// A record with an unknown state.
	{closedByWatcher: true, frames: [][]byte{
		encodeFrame(1<<40+3, frameDelta, record{id: 1, ip: goldenIP, port: 80, state: 3}.encode()),
	}},
	// Frames whose lengths are below the minimum and above the maximum.
	{closedByWatcher: true, frames: [][]byte{{0, 0, 0, 8, 0, 0, 0, 0, 0, 0, 0, 0}}},
	{closedByWatcher: true, frames: [][]byte{{0x7f, 0, 0, 0}}},
	{notifications: []int{0}, frames: [][]byte{
		encodeFrame(1<<40+3, frameDelta, record{
			id: 1, ip: goldenIP, port: 80, state: 1, zone: 1, weight: 1, startTime: 5000,
		}.encode()),
	}},
}

// The golden file contains all bytes of each connection and the resulting notifications. Lines start with
// `> ` for bytes from the watcher, `< ` for bytes from the bus, and `= ` for notifications of the sink.
func TestWatcher_ExchangeMatchesTheGoldenFile(t *testing.T) {
	listener := tcptest.Listen(t, tcptest.AnyLoopbackPort)
	notifications := make(transcript, 10)
	startWatcher(t, watcherSetup{
		options: Options{
			Address: listener.Addr().String(), LastEvent: 41,
			Zones: []string{"east", "west"}, Kinds: []string{"std", "big"},
		},
		sink: notifications,
	})
	var log bytes.Buffer
	for i, session := range sessions {
		fmt.Fprintf(&log, "connection %d\n", i)
		session.play(t, listener, notifications, &log)
	}
	golden.Compare(t, goldenFile, log.Bytes())
}

// play accepts one connection of the watcher and writes the exchange to the log.
func (s session) play(t *testing.T, listener *net.TCPListener, notifications transcript, log *bytes.Buffer) {
	t.Helper()
	conn, lastEvent := accept(t, listener)
	fmt.Fprintf(log, "> %q\n", binary.BigEndian.AppendUint64(nil, lastEvent))
	for index, sent := range s.frames {
		fmt.Fprintf(log, "< %q\n", sent)
		_, err := conn.Write(sent)
		discoverytest.Must(t, err)
		if slices.Contains(s.notifications, index) {
			log.WriteString(discoverytest.Receive(t, notifications, "notification"))
		}
	}
	if !s.closedByWatcher {
		discoverytest.Must(t, conn.CloseWrite())
		log.WriteString("< end of the connection\n")
	}
	rest, err := io.ReadAll(conn)
	discoverytest.Must(t, err)
	discoverytest.Must(t, conn.Close())
	if len(rest) > 0 {
		fmt.Fprintf(log, "> %q\n", rest)
	}
	log.WriteString("> end of the connection\n")
}
