package e2e

import (
	"strings"
	"testing"

	"flaxrelay/internal/pgproto"
)

// Each kind of failure has one ErrorResponse with a code of its own, and the messages behind it
// are skipped up to Sync.
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
	for name, tt := range map[string]struct {
		engines  []string
		params   []string
		messages [][]byte
		want     string
		attempts int64
	}{
		"rejected":          {nil, nil, runTwice("SELECT 1"), "1 2 E(53000 hint) Z", 0},
		"timed out":         {[]string{addr}, []string{"statement_timeout", "80ms"}, runTwice("SELECT 1"), "1 2 E(57014) Z", 1},
		"timed out by -c":   {[]string{addr}, []string{"options", "-c statement_timeout=80"}, runTwice("SELECT 1"), "1 2 E(57014) Z", 1},
		"timed out by SET":  {[]string{addr}, nil, append([][]byte{query("SET statement_timeout = '80ms'")}, runTwice("SELECT 1")...), "C(SET) Z 1 2 E(57014) Z", 1},
		"engine's error":    {[]string{addr}, nil, runTwice("SELECT * FROM missing"), "1 2 E(42P01) Z", 1},
		"simple":            {[]string{addr}, nil, [][]byte{query("SELECT * FROM missing")}, "E(42P01) Z", 1},
		"load, no key":      {[]string{addr}, nil, runTwice("/* class=load */ SELECT f($1)", "k"), "1 E(22023) Z", 0},
		"load, null key":    {[]string{addr}, nil, runTwice("INSERT INTO stock_1.parts VALUES ($1)", ""), "1 E(22004) Z", 0},
		"load by Query":     {[]string{addr}, nil, [][]byte{query("insert into stock_1.parts values (1)")}, "E(22023) Z", 0},
		"unknown class":     {[]string{addr}, nil, runTwice("/* class=x */ SELECT 1"), "E(42704) Z", 0},
		"transaction":       {[]string{addr}, nil, runTwice("BEGIN"), "E(0A000) Z", 0},
		"copy":              {[]string{addr}, nil, [][]byte{query("COPY x FROM STDIN")}, "E(0A000) Z", 0},
		"two statements":    {[]string{addr}, nil, [][]byte{query("SELECT 1; SELECT 2")}, "E(0A000) Z", 0},
		"empty":             {[]string{addr}, nil, [][]byte{query(" -- nothing\n;")}, "I Z", 0},
		"malformed Bind":    {[]string{addr}, nil, [][]byte{parse("", "SELECT 1"), pgproto.AppendMessage(nil, 'B', []byte("\x00\x00\x00\x07")), syncMessage}, "1 E(08P01) Z", 0},
		"malformed message": {[]string{addr}, nil, [][]byte{{'E', 0, 0, 0, 1}}, "E(08P01) end", 0},
		"unknown message":   {[]string{addr}, nil, [][]byte{{'#', 0, 0, 0, 4}}, "E(08P01) end", 0},
	} {
		t.Run(name, func(t *testing.T) {
			front := startPostgres(t, tt.engines...)
			client := connectPostgres(t, front.addr, tt.params...)
			client.send(tt.messages...)
			got := client.receiveUntilReady()
			if strings.HasPrefix(got, "C(SET)") {
				got += " " + client.receiveUntilReady()
			}
			assertEqual(t, "answer", got, tt.want)
			front.assertCount("attempts.started.", tt.attempts)
		})
	}
}

// Peers that stall with an open connection: a client that sends nothing is disconnected, one
// that stalls in the middle of a message has an error, and an engine that does so loses its
// connection, so that another serves the client.
func TestPostgres_StalledPeersAreDisconnected(t *testing.T) {
	stalls := make(chan struct{}, 1)
	stalls <- struct{}{}
	script := func(pgRequest) []byte {
		select {
		case <-stalls:
			return []byte{'1', 0, 0, 0, 4, '2', 0, 0, 0, 200} // the ReadyForQuery falls within that message
		default:
			return insertOneRow
		}
	}
	one, _ := startPgEngine(t, script)
	other, _ := startPgEngine(t, script)
	front := startPostgres(t, one, other)
	silent := &pgClient{t: t, conn: dial(t, front.addr)}
	stalled := connectPostgres(t, front.addr)
	stalled.send(query("SELECT 1")[:7])
	client := connectPostgres(t, front.addr)
	client.send(runUnnamed("INSERT INTO stock_1.parts VALUES ($1)", "key")...)
	assertEqual(t, "answer", client.receiveUntilReady(), "1 2 C(INSERT 0 1) Z")
	assertEqual(t, "silent client", silent.receiveUntilEnd(), "end")
	assertEqual(t, "stalled client", stalled.receiveUntilEnd(), "E(08P01) end")
	front.assertCount("attempts.ended.protocol-error", 1)
}
