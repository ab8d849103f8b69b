package e2e

import (
	"strings"
	"testing"

	"flaxrelay/internal/pgproto"
)

// For each kind of failure, the client receives one ErrorResponse with the code of that failure. After the failure,
// messages are skipped up to Sync, or the connection is closed. An empty statement is not a failure.
func TestPostgres_EachFailureHasOneErrorResponse(t *testing.T) {
	addr, _ := startPgEngine(t, func(request pgRequest) []byte {
		if strings.Contains(request.query, "missing") {
			return pgError("42P01")
		}
		return nil
	})
	runTwice := func(text string, values ...string) [][]byte {
		return [][]byte{parse("", text), bind("", "", values...), execute("", 0), execute("", 0), syncMessage}
	}
	withEngine := []string{addr}
	for name, tt := range map[string]struct {
		engines  []string
		params   []string
		messages [][]byte
		want     string
		attempts int64
	}{
		"rejected": {messages: runTwice("SELECT 1"), want: "1 2 E(53000 hint) Z"},
		"timed out": {
			engines: withEngine, params: []string{"statement_timeout", "80ms"},
			messages: runTwice("SELECT 1"), want: "1 2 E(57014) Z", attempts: 1,
		},
		"timed out by -c": {
			engines: withEngine, params: []string{"options", "-c statement_timeout=80"},
			messages: runTwice("SELECT 1"), want: "1 2 E(57014) Z", attempts: 1,
		},
		"timed out by SET": {
			engines:  withEngine,
			messages: append([][]byte{query("SET statement_timeout = '80ms'")}, runTwice("SELECT 1")...),
			want:     "C(SET) Z 1 2 E(57014) Z", attempts: 1,
		},
		"engine's error": {
			engines: withEngine, messages: runTwice("SELECT * FROM missing"), want: "1 2 E(42P01) Z", attempts: 1,
		},
		"engine's error by Query": {
			engines: withEngine, messages: [][]byte{query("SELECT * FROM missing")}, want: "E(42P01) Z", attempts: 1,
		},
		"load without key": {
			engines: withEngine, messages: runTwice("/* class=load */ SELECT f($1)", "k"), want: "1 E(22023) Z",
		},
		"load with empty key": {
			engines: withEngine, messages: runTwice(insertPart, ""),
			want: "1 E(22004) Z",
		},
		"load by Query": {
			engines: withEngine, messages: [][]byte{query("insert into stock_1.parts values (1)")},
			want: "E(22023) Z",
		},
		"unknown class": {
			engines: withEngine, messages: runTwice("/* class=x */ SELECT 1"), want: "E(42704) Z",
		},
		"transaction": {engines: withEngine, messages: runTwice("BEGIN"), want: "E(0A000) Z"},
		"copy":        {engines: withEngine, messages: [][]byte{query("COPY x FROM STDIN")}, want: "E(0A000) Z"},
		"two statements": {
			engines: withEngine, messages: [][]byte{query("SELECT 1; SELECT 2")}, want: "E(0A000) Z",
		},
		"empty": {engines: withEngine, messages: [][]byte{query(" -- nothing\n;")}, want: "I Z"},
		"malformed Bind": {
			engines: withEngine,
			messages: [][]byte{
				parse("", "SELECT 1"), pgproto.AppendMessage(nil, 'B', []byte("\x00\x00\x00\x07")), syncMessage,
			},
			want: "1 E(08P01) Z",
		},
		"malformed message": {
			engines: withEngine, messages: [][]byte{{'E', 0, 0, 0, 1}}, want: "E(08P01) end",
		},
		"unknown message": {
			engines: withEngine, messages: [][]byte{{'#', 0, 0, 0, 4}}, want: "E(08P01) end",
		},
	} {
		t.Run(name, func(t *testing.T) {
			front := startPostgres(t, tt.engines...)
			client := connectPostgres(t, front.addr, tt.params...)
			client.send(tt.messages...)
			got := client.receiveUntilReady()
			if strings.HasPrefix(got, "C(SET)") {
				got += " " + client.receiveUntilReady()
			}
			assertEqual(t, "response", got, tt.want)
			front.assertCount("attempts.started.", tt.attempts)
		})
	}
}

// Peers stall with an open connection. A client that sends nothing is disconnected. A client that sends a message only
// in part receives an error before it is disconnected. If an engine sends a message only in part, its connection is
// closed, and another engine serves the request.
func TestPostgres_StalledPeersAreDisconnected(t *testing.T) {
	isFirst := firstCall()
	script := func(pgRequest) []byte {
		if isFirst() {
			return []byte{'1', 0, 0, 0, 4, '2', 0, 0, 0, 200} // the ReadyForQuery is read as part of the second message
		}
		return insertOneRow
	}
	first, _ := startPgEngine(t, script)
	second, _ := startPgEngine(t, script)
	front := startPostgres(t, first, second)
	silent := &pgClient{t: t, conn: dial(t, front.addr)}
	stalled := connectPostgres(t, front.addr)
	stalled.send(query("SELECT 1")[:7])
	client := connectPostgres(t, front.addr)
	client.send(runUnnamed(insertPart, "key")...)
	assertEqual(t, "response", client.receiveUntilReady(), "1 2 C(INSERT 0 1) Z")
	assertEqual(t, "silent client", silent.receiveUntilEnd(), "end")
	assertEqual(t, "stalled client", stalled.receiveUntilEnd(), "E(08P01) end")
	front.assertCount("attempts.ended.protocol-error", 1)
}
