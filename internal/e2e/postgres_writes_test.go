package e2e

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"flaxrelay/internal/frontend/pgserver"
	"flaxrelay/policy"
)

// An engine fails after a load was sent to it, so the load may have run. Within the deduplication window of its key,
// the load is retried on another engine with the same key, and the client gets one response.
func TestPostgres_LoadIsRetriedWithItsIdempotencyKey(t *testing.T) {
	isFirst := firstCall()
	script := func(pgRequest) []byte {
		if isFirst() {
			return pgError("XX000")
		}
		return insertOneRow
	}
	first, firstSeen := startPgEngine(t, script)
	second, secondSeen := startPgEngine(t, script)
	front := startPostgres(t, first, second)
	client := connectPostgres(t, front.addr)
	client.send(
		parse("", insertPart), bind("", "", "key-1"),
		execute("", 0), execute("", 0), syncMessage,
	)
	assertEqual(t, "response", client.receiveUntilReady(), "1 2 C(INSERT 0 1) E(55000) Z")
	var binds []string
	for range 2 {
		select {
		case request := <-firstSeen:
			binds = append(binds, request.bind)
		case request := <-secondSeen:
			binds = append(binds, request.bind)
		}
	}
	assertEqual(t, "values of the retry", binds[1], binds[0])
	front.assertCount("attempts.started.", 2)
}

// A load may have run at an engine that failed. The connection to the next engine is established only after the
// deduplication window of the load's key, so the load is not retried.
func TestPostgres_LoadIsNotRetriedAfterItsDedupWindow(t *testing.T) {
	// The startup takes longer than the window. Both times pass in real time.
	const (
		window      = 300 * time.Millisecond
		startupTime = 400 * time.Millisecond
	)
	received, release := make(chan bool), make(chan bool)
	first, _ := startPgEngine(t, func(pgRequest) []byte {
		received <- true
		<-release
		return pgError("XX000")
	})
	second, seen := startSlowPgEngine(t, startupTime, func(pgRequest) []byte { return pgRows() })
	const loadClass = 2
	front := newFrontEnd(t, func(s *policy.Settings) { s.Classes[loadClass].DedupWindow = window }).servePostgres(first)
	client := connectPostgres(t, front.addr)
	client.send(runUnnamed(insertPart, "key")...)
	await(t, received)
	front.updateEndpoints(policy.EngineDraining, first)
	front.updateEndpoints(policy.EngineReady, second)
	close(release)
	assertEqual(t, "response", client.receiveUntilReady(), "1 2 E(XX000) Z")
	front.assertCount("attempts.ended.not-sent", 1)
	if n := len(seen); n != 0 {
		t.Errorf("the second engine received %d requests", n)
	}
}

// Engines run each statement and then close the connection. A statement that may write is not retried: it runs once,
// and its client gets the error that the outcome is unknown. A statement that only reads is retried on other engines.
func TestPostgres_WritesAreNotRetried(t *testing.T) {
	var engines []string
	var seen []chan pgRequest
	for range 4 {
		addr, requests := startPgEngine(t, func(pgRequest) []byte { return []byte(closeConnection) })
		engines = append(engines, addr)
		seen = append(seen, requests)
	}
	runs := func() (n int) { // returns the number of requests that engines received since the previous call
		for _, requests := range seen {
			n += discardAll(requests)
		}
		return n
	}
	for _, text := range []string{
		"DELETE FROM stock_1.parts",
		"UPDATE stock_1.parts SET n = 1",
		"MERGE INTO stock_1.parts USING x ON true WHEN MATCHED THEN DELETE",
		"CREATE TABLE stock_1.x AS SELECT 1",
		"SELECT 1 INTO stock_1.x",
		"WITH d AS (DELETE FROM stock_1.parts RETURNING *) SELECT * FROM d",
		"SELECT setval('s', 1)",
		"EXPLAIN ANALYZE DELETE FROM stock_1.parts",
		"SELECT 1 FROM stock_1.parts FOR UPDATE",
		"/* class=write */ SELECT 1",
		"DO $$ BEGIN END $$",
		"SELECT count(*) -- \r, setval('s', 1)",
	} {
		t.Run(text, func(t *testing.T) {
			front := startPostgres(t, engines...) // a new front end, which has observed no faults of the engines yet
			client := connectPostgres(t, front.addr)
			client.send(runUnnamed(text)...)
			assertEqual(t, "response", client.receiveUntilReady(), "1 2 E(40003) Z")
			if n := runs(); n != 1 {
				t.Errorf("the statement ran %d times, want once", n)
			}
		})
	}
	client := connectPostgres(t, startPostgres(t, engines...).addr)
	client.send(runUnnamed("SELECT 1")...)
	client.receiveUntilReady()
	if n := runs(); n < 2 {
		t.Errorf("a statement that only reads ran %d times, want at least 2", n)
	}
}

// An idempotent class, named by the client or by a rule, is rejected for a statement that may write. If the statement's
// rule or function is declared read-only, the class is accepted, unless the statement certainly writes. Without a class
// for writes, a statement that may write is rejected.
func TestPostgres_IdempotentClassIsRejectedForWrites(t *testing.T) {
	addr, _ := startPgEngine(t, oneRowReply)
	front := newFrontEnd(t, nil)
	front.pgOptions = pgserver.Options{
		DefaultClass: "lookup", WriteClass: "write", ReadOnlyFunctions: map[string]bool{"stock.price_of": true},
		Rules: []pgserver.Rule{
			{Prefix: "SELECT quiet", Class: "report", ReadOnly: true},
			{Prefix: "SELECT loud", Class: "report"},
		},
	}
	front.servePostgres(addr)
	noWriteClass := newFrontEnd(t, nil)
	noWriteClass.pgOptions = pgserver.Options{DefaultClass: "lookup"}
	noWriteClass.servePostgres(addr)
	for _, tt := range []struct {
		front      *frontEnd
		text, want string
	}{
		{front, "/* class=lookup */ DELETE FROM x", "E(22023 hint) Z"},
		{front, "/* class=report */ SELECT f()", "E(22023 hint) Z"},
		{front, "SELECT loud()", "E(22023 hint) Z"},
		{front, "SELECT quiet()", "T D(a) C(SELECT 1) Z"},
		{front, "SELECT quiet() FOR UPDATE", "E(22023 hint) Z"},
		{front, "SELECT stock.price_of(1)", "T D(a) C(SELECT 1) Z"},
		{front, "SELECT f()", "T D(a) C(SELECT 1) Z"},
		{noWriteClass, "DELETE FROM x", "E(0A000) Z"},
		{noWriteClass, "SELECT 1", "T D(a) C(SELECT 1) Z"},
	} {
		t.Run(tt.text, func(t *testing.T) {
			client := connectPostgres(t, tt.front.addr)
			client.send(query(tt.text))
			assertEqual(t, "response", client.receiveUntilReady(), tt.want)
		})
	}
	front.assertCount("requests.accepted.write", 1)
}

// A write that was sent is never reported as if it had not run. If a write fails for lack of a resource while it runs,
// it is not retried. After a timeout or a cancellation, the outcome of the write is unknown. An error while the write
// runs is not mistaken for a dropped prepared statement.
func TestPostgres_UncertainWriteIsNotReportedAsUndone(t *testing.T) {
	running := make(chan bool, seenCapacity)
	addr, seen := startPgEngine(t, func(request pgRequest) []byte {
		switch {
		case strings.Contains(request.query, "short"):
			return bytes.Join([][]byte{parseComplete, bindComplete, pgError("53100")}, nil)
		case strings.Contains(request.query, "odd") && !request.parsed:
			return bytes.Join([][]byte{bindComplete, pgError("0A000")}, nil)
		case strings.Contains(request.query, "odd"):
			return pgRows("a")
		}
		running <- true
		return nil
	})
	front := newFrontEnd(t, func(s *policy.Settings) { s.Limits.MaxAttempts = 3 }).servePostgres(addr)
	client := connectPostgres(t, front.addr, "statement_timeout", "300ms")
	run := func(text string) string {
		client.send(query(text))
		return client.receiveUntilReady()
	}
	assertEqual(t, "disk full", run("UPDATE short SET a = 1"), "E(53100) Z")
	assertEqual(t, "first execution", run("UPDATE odd SET a = 1"), "T D(a) C(SELECT 1) Z")
	assertEqual(t, "not supported while it ran", run("UPDATE odd SET a = 1"), "E(0A000) Z")
	assertEqual(t, "timed out", run("UPDATE x SET a = 1"), "E(40003) Z")
	front.assertCount("attempts.started.", 4)
	discardAll(running)
	discardAll(seen)
	client = connectPostgres(t, front.addr)
	client.send(query("UPDATE x SET a = 2"))
	await(t, running)
	sendCancel(t, front.addr, client.keyData)
	assertEqual(t, "cancelled", client.receiveUntilReady(), "E(40003) Z")
}
