package e2e

import (
	"bytes"
	"slices"
	"strings"
	"testing"

	"flaxrelay/internal/pgproto"
)

// Rows of several megabytes all reach a client that reads slowly, even if the front end closes the connection after the
// rows. A result above the limit is an error.
func TestPostgres_LargeResultReachesASlowClient(t *testing.T) {
	row := strings.Repeat("x", 1300<<10)
	rows := []string{row, row, row}
	addr, _ := startPgEngine(t, func(request pgRequest) []byte {
		if strings.Contains(request.query, "more") {
			return pgRows(append(rows, rows...)...)
		}
		return pgRows(rows...)
	})
	front := startPostgres(t, addr)
	client := connectPostgres(t, front.addr)
	_ = tcpConn(t, client.conn).SetReadBuffer(64 << 10) // otherwise the kernel might buffer the whole result
	client.send(query("SELECT more"))
	assertEqual(t, "result above the limit", client.receiveUntilReady(), "E(54000) Z")
	client.send(query("SELECT x"), terminateMessage)
	front.awaitCount("requests.completed.served", 1) // all rows are now waiting to be written
	got := client.receiveUntilEnd()
	assertEqual(t, "rows", strings.ReplaceAll(got, row, "x"), "T D(x) D(x) D(x) C(SELECT 3) Z end")
}

// A client pipelines far more than fits into a buffer. The rest waits in the sockets, and every execution has a
// response.
func TestPostgres_EveryPipelinedExecutionHasAResponse(t *testing.T) {
	release := make(chan struct{})
	addr, seen := startPgEngine(t, func(pgRequest) []byte { <-release; return pgRows() })
	go func() {
		for range seen { // so that the engine does not wait for the test
			continue
		}
	}()
	front := startPostgres(t, addr)
	client := connectPostgres(t, front.addr)
	client.send(parse("s", "SELECT $1"))
	const executions = 300
	value := strings.Repeat("v", 32<<10)
	sent := make(chan error, 1)
	go func() {
		for range executions {
			if _, err := client.conn.Write(append(bind("", "s", value), execute("", 0)...)); err != nil {
				sent <- err
				return
			}
		}
		_, err := client.conn.Write(syncMessage)
		sent <- err
	}()
	front.awaitCount("attempts.started.", 1)
	close(release)
	got := client.receiveUntilReady()
	if err := await(t, sent); err != nil {
		t.Fatal(err)
	}
	if completions := strings.Count(got, "C(SELECT 0)"); completions != executions {
		t.Errorf("%d completions, want %d", completions, executions)
	}
}

// Clients that send only parts of long messages can't exhaust the memory. Guards against a connection that is closed
// without a response: the client whose message has been incomplete for the longest time receives an error, and all
// others are served.
func TestPostgres_ReadBudgetRefusesTheOldestIncompleteMessage(t *testing.T) {
	addr, _ := startPgEngine(t, oneRowReply)
	front := newFrontEnd(t, nil)
	const (
		budget        = 400 << 10
		messageLength = 300 << 10
		firstPart     = 250 << 10
	)
	front.loop.SetReadBudgets(budget, budget)
	front.servePostgres(addr)
	long := query("SELECT '" + strings.Repeat("x", messageLength) + "'")
	first := connectPostgres(t, front.addr)
	first.send(long[:firstPart])
	front.awaitBuffered(firstPart)
	second := connectPostgres(t, front.addr)
	second.send(long)
	assertEqual(t, "second client", second.receiveUntilReady(), "T D(a) C(SELECT 1) Z")
	assertEqual(t, "first client", first.receiveUntil('E'), "E(53200)")
	if _, err := first.conn.Read(make([]byte, 1)); err == nil {
		t.Error("the first client stays connected")
	}
	front.assertCount("postgres.read-budget", 1)
	third := connectPostgres(t, front.addr)
	third.send(long)
	assertEqual(t, "a later client", third.receiveUntilReady(), "T D(a) C(SELECT 1) Z")
}

// Guards against a connection that is closed without the rest of its responses, because the responses to the messages
// of one read exceed what may wait to be sent.
func TestPostgres_ManyResponsesAtOnceAreAllSent(t *testing.T) {
	const (
		describes  = 6000
		columnName = 4 << 10
	)
	column := append([]byte{0, 1}, strings.Repeat("c", columnName)...)
	column = append(column, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 25, 255, 255, 255, 255, 255, 255, 0, 0)
	addr, _ := startPgEngine(t, func(pgRequest) []byte {
		return slices.Concat(parseComplete, pgproto.AppendMessage(nil, 't', oneParameter),
			pgproto.AppendMessage(nil, 'T', column))
	})
	front := startPostgres(t, addr)
	client := connectPostgres(t, front.addr)
	client.send(parse("s", selectPart), describe("S", "s"), syncMessage)
	client.receiveUntilReady()
	client.send(bytes.Repeat(describe("S", "s"), describes), syncMessage)
	if got := strings.Count(client.receiveUntilReady(), "T"); got != describes {
		t.Errorf("%d descriptions, want %d", got, describes)
	}
}

// Guards against prepared statements that use up the memory: a session that keeps many long ones gets an error, while
// the short ones of others are served, and its memory is free again after it has ended.
func TestPostgres_PreparedStatementsAreLimitedForAllSessionsTogether(t *testing.T) {
	const (
		budget        = 1 << 20
		statementSize = 400 << 10
	)
	addr, _ := startPgEngine(t, oneRowReply)
	front := newFrontEnd(t, nil)
	front.pgOptions.MaxStatementBytes = budget
	front.servePostgres(addr)
	long := func(name string) []byte { return parse(name, "SELECT '"+strings.Repeat("x", statementSize)+"'") }
	greedy := connectPostgres(t, front.addr)
	for _, name := range []string{"a", "b"} {
		greedy.send(long(name), syncMessage)
		assertEqual(t, "statement within the budget", greedy.receiveUntilReady(), "1 Z")
	}
	greedy.send(long("c"), syncMessage)
	assertEqual(t, "statement beyond the budget", greedy.receiveUntilReady(), "E(53200) Z")
	usual := connectPostgres(t, front.addr)
	usual.send(runUnnamed(selectPart, "a")...)
	assertEqual(t, "short statement of another session", usual.receiveUntilReady(), "1 2 D(a) C(SELECT 1) Z")
	usual.send(query("SELECT '" + strings.Repeat("x", statementSize) + "'"))
	assertEqual(t, "long query of another session", usual.receiveUntilReady(), "E(53200) Z")
	if err := greedy.conn.Close(); err != nil {
		t.Fatal(err)
	}
	served := poll(func() bool {
		usual.send(long("d"), syncMessage)
		return usual.receiveUntilReady() == "1 Z"
	})
	if !served {
		t.Error("the memory of the session that has ended is not free")
	}
}
