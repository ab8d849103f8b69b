package e2e

import (
	"bytes"
	"testing"

	"flaxrelay/internal/pgproto"
)

// The cases are startups that are accepted, startups that are rejected, and CancelRequests that have no effect.
func TestGoldenPostgres_EachStartupHasItsRecordedResponse(t *testing.T) {
	encryption := func(code uint32) []byte { return pgproto.AppendStartup(nil, code, nil) }
	cancel := func(body string) []byte {
		return pgproto.AppendStartup(nil, pgproto.CancelRequestCode, []byte(body))
	}
	for name, tt := range map[string]struct {
		declined [][]byte // encryption requests before the startup
		first    []byte
		accepted bool
	}{
		"plain": {first: deskStartup("database", "register", "application_name", "x"), accepted: true},
		"encryption": {
			declined: [][]byte{encryption(pgproto.SSLRequestCode), encryption(pgproto.GSSENCRequestCode)},
			first:    deskStartup(), accepted: true,
		},
		"later-minor": {
			first: startupMessage(pgproto.ProtocolVersion+2, "user", "desk", "_pq_.unknown", "1"), accepted: true,
		},
		"with-timeout":    {first: deskStartup("statement_timeout", "5s"), accepted: true},
		"with-options":    {first: deskStartup("options", "-c statement_timeout=5s --x=y"), accepted: true},
		"bad-timeout":     {first: deskStartup("statement_timeout", "soon")},
		"bad-options":     {first: deskStartup("options", "-c statement_timeout=soon")},
		"no-user":         {first: startupMessage(pgproto.ProtocolVersion, "database", "register")},
		"version-2":       {first: startupMessage(2<<16, "user", "desk")},
		"not-ended":       {first: pgproto.AppendStartup(nil, pgproto.ProtocolVersion, []byte("user\x00desk"))},
		"too-long":        {first: []byte("\x00\x00\x27\x11\x00\x03\x00\x00")},
		"too-short":       {first: []byte("\x00\x00\x00\x07\x00\x03\x00\x00")},
		"http":            {first: []byte("GET / HTTP/1.1\r\n\r\n")},
		"cancel-of-none":  {first: cancel("\x00\x00\x00\x09abcd")},
		"cancel-too-long": {first: cancel("\x00\x00\x00\x09abcde")},
	} {
		t.Run(name, func(t *testing.T) {
			recorder := newTranscript(t).recordPostgres("", startPostgres(t).addr)
			for _, m := range tt.declined {
				recorder.send(m)
				recorder.receiveByte()
			}
			recorder.send(tt.first)
			if tt.accepted {
				recorder.receiveUntilReady()
				recorder.disconnect()
			} else {
				recorder.recordClose()
			}
			recorder.compare("pgwire/startup-" + name)
		})
	}
}

// The cases are batches of messages. Each batch has a response up to ReadyForQuery.
func TestGoldenPostgres_EachBatchHasItsRecordedResponse(t *testing.T) {
	message := func(kind byte, body string) []byte { return pgproto.AppendMessage(nil, kind, []byte(body)) }
	for name, batches := range map[string][][][]byte{
		"simple":       {{query("SELECT part FROM stock_1.parts")}, {query("SELECT no_rows")}},
		"simple-empty": {{query(" -- nothing\n;")}},
		"simple-set": {
			{query("SET statement_timeout = '80ms'")},
			{query("SET SESSION statement_timeout TO DEFAULT")},
		},
		"simple-set-bad":     {{query("SET statement_timeout = 'soon'")}},
		"simple-set-other":   {{query("SET work_mem = '1GB'")}},
		"simple-error":       {{query("SELECT * FROM missing")}, {query("SELECT 1")}},
		"simple-transaction": {{query("BEGIN")}},
		"simple-two":         {{query("SELECT 1; SELECT 2")}},
		"simple-copy":        {{query("COPY x FROM STDIN")}},
		"simple-load":        {{query(insertPart)}},
		"simple-write":       {{query("UPDATE stock_1.parts SET part = 'insert'")}},
		"extended":           {runUnnamed(selectPart, "a")},
		"extended-load":      {runUnnamed(insertPart, "key")},
		"extended-empty":     {runUnnamed("")},
		"extended-described": {
			{parse("s", selectPart), describe("S", "s"), syncMessage},
			{bind("", "s", "a"), describe("P", ""), execute("", 0), bind("", "s", "b"), execute("", 0), syncMessage},
			{bind("p", "s", "c"), describe("P", "p"), syncMessage},
		},
		"extended-portal": {
			{
				parse("", selectPart), bind("p", "", "a"), execute("p", 2), flushMessage, execute("p", 2),
				execute("p", 0), syncMessage,
			},
			{execute("p", 0), syncMessage},
		},
		"extended-close": {{
			parse("s", selectPart), message('C', "Ss\x00"), message('C', "Pp\x00"), bind("", "s", "a"), syncMessage,
		}},
		"error-engine": {runUnnamed("SELECT * FROM missing")},
		"error-skips": {
			{parse("", "BEGIN"), bind("", ""), execute("", 0), query("SELECT 1"), syncMessage},
			runUnnamed("SELECT 1"),
		},
		"error-broken-off": {runUnnamed("UPDATE break_off SET a = 1")},
		"error-class":      {runUnnamed("/* class=x */ SELECT 1")},
		"error-comment":    {runUnnamed("/* class=load key=$x */ SELECT 1")},
		"error-may-write":  {runUnnamed("/* class=lookup */ DELETE FROM stock_1.parts")},
		"error-no-key":     {runUnnamed("/* class=load */ SELECT f($1)", "k")},
		"error-null-key":   {runUnnamed(insertPart, "")},
		"error-few-values": {runUnnamed("/* class=load key=$2 */ SELECT f($1)", "k")},
		"error-statement":  {{bind("", "none"), syncMessage}, {describe("S", "none"), syncMessage}},
		"error-portal":     {{execute("none", 0), syncMessage}, {describe("P", "none"), syncMessage}},
		"error-twice": {
			{parse("s", selectPart), parse("s", selectPart), syncMessage},
			{bind("p", "s", "a"), bind("p", "s", "a"), syncMessage},
		},
		"error-values": {
			{parse("s", selectPart), describe("S", "s"), syncMessage},
			{bind("", "s", "a", "b"), syncMessage},
		},
		"error-load-again": {{parse("", insertPart), bind("", "", "key"), execute("", 0), execute("", 0), syncMessage}},
		"malformed-bodies": {
			{message('P', "x"), syncMessage},
			{message('B', "\x00\x00\x00\x07"), syncMessage},
			{message('D', "X\x00"), syncMessage},
			{message('E', "\x00"), syncMessage},
			{message('C', "S"), syncMessage},
			{message('Q', "SELECT 1")},
		},
		"unsupported-call":     {{message('F', "\x00\x00\x00\x01"), syncMessage}},
		"unsupported-password": {{message('p', "x\x00"), syncMessage}},
		"copy-data-passed-by":  {{message('d', "x"), message('c', ""), message('f', "x\x00"), syncMessage}},
	} {
		t.Run(name, func(t *testing.T) { compareBatches(t, goldenPgEngine, batches, "pgwire/"+name) })
	}
}

// Without engines, a request is rejected with a time after which to retry.
func TestGoldenPostgres_RejectionHasARetryHint(t *testing.T) {
	recorder := newTranscript(t).recordPostgres("", startPostgres(t).addr)
	recorder.start()
	recorder.send(runUnnamed("SELECT 1")...)
	recorder.receiveUntilReady()
	recorder.send(query("SELECT 1"))
	recorder.receiveUntilReady()
	recorder.disconnect()
	recorder.compare("pgwire/refused")
}

// An engine does not respond before the statement's timeout. The client gets a timeout error for a statement that only
// reads. For a statement that may write, the client gets the error that the outcome is unknown.
func TestGoldenPostgres_TimeoutOfAWriteHasAnUnknownOutcome(t *testing.T) {
	for name, text := range map[string]string{"timeout": "SELECT silent", "timeout-write": "UPDATE silent SET a = 1"} {
		t.Run(name, func(t *testing.T) {
			addr, _ := startPgEngine(t, goldenPgEngine)
			recorder := newTranscript(t).recordPostgres("", startPostgres(t, addr).addr)
			recorder.start("statement_timeout", "80ms")
			recorder.send(query(text))
			recorder.receiveUntilReady()
			recorder.disconnect()
			recorder.compare("pgwire/" + name)
		})
	}
}

// The cases are messages with an unknown kind or an invalid length, and a Terminate.
func TestGoldenPostgres_MalformedMessageOrTerminateEndsTheConnection(t *testing.T) {
	addr, _ := startPgEngine(t, goldenPgEngine)
	for name, messages := range map[string][][]byte{
		"unknown-kind":     {{'#', 0, 0, 0, 4}},
		"length-too-small": {{'E', 0, 0, 0, 1}},
		"length-too-large": {{'Q', 0, 0x10, 0, 1}},
		"length-negative":  {{'Q', 0xff, 0xff, 0xff, 0xff}},
		"terminate":        {terminateMessage},
		"behind-batch":     {query("SELECT 1"), {'#', 0, 0, 0, 4}},
	} {
		t.Run(name, func(t *testing.T) {
			recorder := newTranscript(t).recordPostgres("", startPostgres(t, addr).addr)
			recorder.start()
			recorder.send(messages...)
			recorder.recordClose()
			recorder.compare("pgwire/last-" + name)
		})
	}
}

// A CancelRequest with the right secret ends the statement in flight on the connection that it identifies. A
// CancelRequest with a wrong secret has no effect. Each CancelRequest's own connection is closed without a response.
func TestGoldenPostgres_CancelRequestEndsTheStatementInFlight(t *testing.T) {
	for name, text := range map[string]string{"cancel": "SELECT silent", "cancel-write": "UPDATE silent SET a = 1"} {
		t.Run(name, func(t *testing.T) {
			addr, seen := startPgEngine(t, goldenPgEngine)
			tr := newTranscript(t)
			front := startPostgres(t, addr)
			client := tr.recordPostgres("client", front.addr)
			client.start()
			client.send(runUnnamed(text)...)
			await(t, seen)
			const secretAt = 4 // after the process number
			wrong := bytes.Clone(client.keyData)
			wrong[secretAt]++
			tr.recordCancel("wrong", front.addr, wrong)
			tr.recordCancel("right", front.addr, client.keyData)
			client.receiveUntilReady()
			client.disconnect()
			tr.compare("pgwire/" + name)
		})
	}
}

// A graceful shutdown notifies idle clients at once, and other clients after their responses.
func TestGoldenPostgres_GracefulShutdownNotifiesClientsAfterTheirResponses(t *testing.T) {
	release := make(chan struct{})
	addr, seen := startPgEngine(t, func(request pgRequest) []byte {
		<-release
		return goldenPgEngine(request)
	})
	tr := newTranscript(t)
	front := startPostgres(t, addr)
	idle := tr.recordPostgres("idle", front.addr)
	busy := tr.recordPostgres("busy", front.addr)
	idle.start()
	busy.start()
	busy.send(query("SELECT part FROM stock_1.parts"))
	front.awaitCount("attempts.started.", 1)
	front.onLoop(front.server.Drain)
	tr.addEvent("", "the drain begins")
	idle.recordClose()
	close(release)
	busy.recordClose()
	await(t, seen)
	late := tr.recordPostgres("late", front.addr)
	late.send(deskStartup())
	late.recordClose()
	tr.compare("pgwire/drain")
}
