package eventbus_test

import (
	"bytes"
	"encoding/binary"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"testing"
	"time"

	"flaxrelay/internal/discovery/eventbus"
	"flaxrelay/internal/eventloop"
	"flaxrelay/internal/lifecycle"
	"flaxrelay/internal/metrics"
	"flaxrelay/policy"
)

var update = flag.Bool("update", false, "write the golden file anew")

const (
	patience   = 10 * time.Second
	goldenFile = "testdata/golden/exchange.txt"
)

var (
	modes  = map[policy.UpdateMode]string{policy.UpdateFull: "whole list", policy.UpdateDelta: "changes"}
	states = map[policy.EngineState]string{policy.EngineReady: "ready", policy.EngineDraining: "draining", policy.EngineRemoved: "gone"}
)

// events words what is told of the engines, one line each.
type events chan string

func (e events) UpdateEndpoints(mode policy.UpdateMode, list []lifecycle.Endpoint) {
	text := fmt.Sprintf("= %s of %d\n", modes[mode], len(list))
	for _, one := range list {
		text += fmt.Sprintf("= %s at %s, zone %q, kind %q, cell %d, %s, late start %t at %v\n",
			one.ID, one.Address, one.Zone, one.Kind, one.Cell, states[one.State], one.StartKnown, one.StartedAt)
	}
	e <- text
}

func frame(number uint64, kind byte, records ...[]byte) []byte {
	payload := bytes.Join(records, nil)
	b := binary.BigEndian.AppendUint32(nil, uint32(9+len(payload)))
	b = append(binary.BigEndian.AppendUint64(b, number), kind)
	return append(b, payload...)
}

func record(id uint32, port uint16, state, zone, kind byte, cell uint16, weight uint32, started uint64) []byte {
	b := binary.BigEndian.AppendUint32(nil, id)
	b = binary.BigEndian.AppendUint16(append(b, 10, 18, 74, 7), port)
	b = binary.BigEndian.AppendUint16(append(b, state, zone, kind), cell)
	return binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint32(b, weight), started)
}

// session is what the bus does with one connection.
type session struct {
	frames [][]byte
	events int  // that come of them
	kept   bool // the connection is closed by our side, not by the bus
}

var sessions = []session{
	{frames: [][]byte{
		frame(41, 0),
		frame(42, 1, record(0x00c41f7a, 9090, 0, 0, 0, 2, 4000, 0), record(0xffffffff, 65535, 1, 1, 1, 65535, 0, 1764654000123)),
		frame(42, 0),
		frame(43, 2, record(0x00c41f7a, 9090, 2, 0, 0, 2, 4000, 0)),
		frame(43, 2, record(0x00c41f7a, 9090, 0, 0, 0, 2, 4000, 0)), // told before
		frame(1<<40, 2, record(1, 80, 0, 7, 9, 0, 0, 1<<43)),        // places and a start that there aren't
		frame(1<<40+1, 2),
	}, events: 4},
	{frames: [][]byte{frame(1<<40+2, 1)}, events: 1},
	{frames: [][]byte{frame(1<<40+3, 2, record(1, 80, 0, 0, 0, 0, 0, 0))[:30]}},        // cut off
	{frames: [][]byte{frame(1<<40+3, 3)}, kept: true},                                  // unknown kind
	{frames: [][]byte{frame(1<<40+3, 2, []byte("no record"))}, kept: true},             // not whole records
	{frames: [][]byte{frame(1<<40+3, 2, record(1, 80, 3, 0, 0, 0, 0, 0))}, kept: true}, // unknown state
	{frames: [][]byte{{0, 0, 0, 8, 0, 0, 0, 0, 0, 0, 0, 0}}, kept: true},               // too short a frame
	{frames: [][]byte{{0x7f, 0, 0, 0}}, kept: true},                                    // too long a one
	{frames: [][]byte{frame(1<<40+3, 2, record(1, 80, 1, 1, 0, 0, 1, 5000))}, events: 1, kept: false},
}

// All that our side writes on each connection, and the events that come of the frames,
// are held byte for byte: `> ` by our side, `< ` by the bus, `= ` what was told.
func TestGoldenExchange(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(t, err)
	defer listener.Close()
	loop, err := eventloop.New(1024)
	must(t, err)
	told := make(events, 10)
	zones, kinds := []string{"east", "west"}, []string{"std", "big"}
	follower := eventbus.New(loop, listener.Addr().String(), 41, zones, kinds, told, metrics.New(), slog.New(slog.DiscardHandler))
	loop.Post(follower.Start)
	done := make(chan struct{})
	go func() { loop.Run(); close(done) }()
	defer func() { loop.Post(func() { follower.Stop(); loop.Stop() }); <-done }()

	var log bytes.Buffer
	for n, s := range sessions {
		fmt.Fprintf(&log, "connection %d\n", n)
		play(t, listener, s, told, &log)
	}
	compareGolden(t, log.Bytes())
}

func play(t *testing.T, listener net.Listener, s session, told events, log *bytes.Buffer) {
	t.Helper()
	must(t, listener.(*net.TCPListener).SetDeadline(time.Now().Add(patience)))
	conn, err := listener.Accept()
	must(t, err)
	defer conn.Close()
	must(t, conn.SetDeadline(time.Now().Add(patience)))
	number := make([]byte, 8)
	_, err = io.ReadFull(conn, number)
	must(t, err)
	fmt.Fprintf(log, "> %q\n", number)
	for _, f := range s.frames {
		fmt.Fprintf(log, "< %q\n", f)
		_, err = conn.Write(f)
		must(t, err)
	}
	for range s.events {
		select {
		case text := <-told:
			log.WriteString(text)
		case <-time.After(patience):
			t.Fatalf("an event was never told of; up to here:\n%s", log)
		}
	}
	if !s.kept {
		must(t, conn.(*net.TCPConn).CloseWrite())
		log.WriteString("< end of the connection\n")
	}
	rest, err := io.ReadAll(conn)
	must(t, err)
	if len(rest) > 0 {
		fmt.Fprintf(log, "> %q\n", rest)
	}
	log.WriteString("> end of the connection\n")
}

func compareGolden(t *testing.T, got []byte) {
	t.Helper()
	if *update {
		must(t, os.MkdirAll("testdata/golden", 0o700))
		must(t, os.WriteFile(goldenFile, got, 0o600))
	}
	want, err := os.ReadFile(goldenFile)
	must(t, err)
	if !bytes.Equal(got, want) {
		t.Errorf("%s: got\n%s\nwant\n%s", goldenFile, got, want)
	}
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}
