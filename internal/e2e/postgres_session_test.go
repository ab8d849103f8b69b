package e2e

import (
	"bytes"
	"strings"
	"testing"

	"flaxrelay/internal/pgproto"
	"flaxrelay/policy"
)

// A prepared statement is bound many times, and each execution has one response with the rows, formats and values of
// the engine.
func TestPostgres_PreparedStatementIsBoundManyTimes(t *testing.T) {
	addr, seen := startPgEngine(t, func(request pgRequest) []byte {
		if request.describe {
			return describeReply
		}
		return pgRows("chain " + request.bind[8:9])
	})
	front := startPostgres(t, addr)
	client := connectPostgres(t, front.addr)
	const text = "SELECT part FROM stock_4.parts WHERE id = $1"
	client.send(parse("s", text), describe("S", "s"), syncMessage)
	assertEqual(t, "prepared", client.receiveUntilReady(), "1 t T Z")
	client.send(bind("", "s", "a"), describe("P", ""), execute("", 0), bind("", "s", "b"), execute("", 0), syncMessage)
	assertEqual(t, "batch", client.receiveUntilReady(), "2 T D(chain a) C(SELECT 1) 2 D(chain b) C(SELECT 1) Z")
	client.send(bind("", "s", "c", "too many"), execute("", 0), syncMessage)
	assertEqual(t, "wrong number of values", client.receiveUntilReady(), "E(08P01) Z")
	for i, want := range []pgRequest{{describe: true, parsed: true}, {}, {}} {
		got := await(t, seen)
		if got.query != text || got.describe != want.describe || got.parsed != want.parsed {
			t.Errorf("request %d at the engine: %+v", i, got)
		}
	}
	front.assertCount("requests.accepted.", 3) // a description and two executions
}

// If an engine has dropped a prepared statement, the front end prepares it again, and the client sees no error. An
// error on a statement that was just prepared goes to the client.
func TestPostgres_DroppedStatementIsPreparedAgain(t *testing.T) {
	dropsStatements := false
	addr, _ := startPgEngine(t, func(request pgRequest) []byte {
		if dropsStatements && !request.parsed {
			return pgError("26000")
		}
		dropsStatements = true
		if strings.Contains(request.query, "odd") {
			return pgError("0A000")
		}
		return pgRows("a")
	})
	front := startPostgres(t, addr)
	client := connectPostgres(t, front.addr)
	client.send(parse("s", "SELECT 1"), bind("", "s"), execute("", 0), bind("", "s"), execute("", 0), syncMessage)
	assertEqual(t, "batch", client.receiveUntilReady(), "1 2 D(a) C(SELECT 1) 2 D(a) C(SELECT 1) Z")
	client.send(runUnnamed("SELECT odd")...)
	assertEqual(t, "engine's own error", client.receiveUntilReady(), "1 2 E(0A000) Z")
}

// An engine drains while a portal is open: the portal's remaining rows come from the buffer, and new statements go to
// another engine.
func TestPostgres_OpenPortalSurvivesEngineDrain(t *testing.T) {
	first, _ := startPgEngine(t, func(pgRequest) []byte { return pgRows("a", "b", "c") })
	second, _ := startPgEngine(t, func(pgRequest) []byte { return pgRows("elsewhere") })
	front := startPostgres(t, first)
	client := connectPostgres(t, front.addr)
	client.send(parse("", "SELECT part FROM stock_1.parts"), bind("p", ""), execute("p", 2), flushMessage)
	assertEqual(t, "first rows", client.receiveUntil('s'), "1 2 D(a) D(b) s")
	front.updateEndpoints(policy.EngineDraining, first)
	front.updateEndpoints(policy.EngineReady, second)
	client.send(execute("p", 2), bind("q", ""), execute("q", 0), syncMessage)
	const want = "D(c) C(SELECT 1) 2 D(elsewhere) C(SELECT 1) Z"
	assertEqual(t, "remaining rows, and a new statement", client.receiveUntilReady(), want)
	client.send(execute("p", 0), syncMessage)
	assertEqual(t, "the portal after Sync", client.receiveUntilReady(), "E(34000) Z")
	front.assertCount("attempts.started.", 2) // a portal runs once
}

// A client disconnects during a batch: the execution in flight is cancelled, and the rest of the batch is not sent.
func TestPostgres_DisconnectCancelsAndSkipsTheRestOfTheBatch(t *testing.T) {
	addr, seen := startPgEngine(t, noPgReply)
	front := startPostgres(t, addr)
	client := connectPostgres(t, front.addr)
	client.send(
		parse("s", insertPart),
		bind("", "s", "k1"), execute("", 0),
		bind("", "s", "k2"), execute("", 0),
		syncMessage,
	)
	if request := await(t, seen); !strings.Contains(request.bind, "k1") {
		t.Errorf("the engine received %+v", request)
	}
	_ = client.conn.Close()
	assertEqual(t, "the engine received", await(t, seen).query, cancelQuery)
	front.assertCount("attempts.started.", 1)
	front.assertCount("requests.disconnected.", 1)
}

// A CancelRequest with the right secret ends the statement in flight on the connection that it identifies, and the
// statement has one response. A CancelRequest with a wrong secret has no effect.
func TestPostgres_CancelRequestNeedsTheRightSecret(t *testing.T) {
	addr, seen := startPgEngine(t, noPgReply)
	front := startPostgres(t, addr)
	client := connectPostgres(t, front.addr)
	client.send(runUnnamed("SELECT 1")...)
	await(t, seen)
	wrong := append(bytes.Clone(client.keyData[:4]), 0, 0, 0, 0)
	for _, keyData := range [][]byte{wrong, client.keyData} {
		sendCancel(t, front.addr, keyData)
	}
	assertEqual(t, "response", client.receiveUntilReady(), "1 2 E(57014) Z")
	assertEqual(t, "the engine received", await(t, seen).query, cancelQuery)
	front.assertCount("postgres.cancel-requests", 1)
}

// Encryption is declined with one byte, and the startup continues without encryption.
func TestPostgres_EncryptionIsDeclined(t *testing.T) {
	front := startPostgres(t)
	client := &pgClient{t: t, conn: dial(t, front.addr)}
	for _, code := range []uint32{pgproto.SSLRequestCode, pgproto.GSSENCRequestCode} {
		client.send(pgproto.AppendStartup(nil, code, nil))
		response := make([]byte, 1)
		if _, err := client.conn.Read(response); err != nil || response[0] != 'N' {
			t.Fatalf("got %q, %v", response, err)
		}
	}
	client.send(startupMessage(pgproto.ProtocolVersion+2, "user", "x"))
	assertEqual(t, "startup", client.receiveUntilReady(), "v R S S S S S S S K Z")
}

// A client sends a statement and disconnects before the event loop handles the statement: no request is accepted.
func TestPostgres_DisconnectedClientsStatementIsDropped(t *testing.T) {
	addr, _ := startPgEngine(t, noPgReply)
	front := startPostgres(t, addr)
	client := connectPostgres(t, front.addr)
	later := dial(t, front.addr)
	front.awaitCount("postgres.connections", 2)
	front.onLoop(func() {
		client.send(query("SELECT 1"))
		if err := client.conn.Close(); err != nil {
			t.Error(err)
		}
		// The poller reads the statement, and the end of the connection, before the bytes of a later client.
		front.deliver(later, string(startupMessage(pgproto.ProtocolVersion, "user", "x")))
	})
	front.onLoop(func() {}) // the loop has handled the statement
	front.assertCount("requests.accepted.", 0)
}
