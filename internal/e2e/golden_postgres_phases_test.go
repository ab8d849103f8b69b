package e2e

import (
	"bytes"
	"strings"
	"testing"

	"flaxrelay/internal/pgproto"
)

// The tests of this file send messages in each phase of a connection: during its startup, within a batch, while the
// description of a portal is deferred, while a request is in flight, and while messages are skipped after an error.

// openPortal returns a batch that prepares the statement s and binds the portal p. The further messages follow these
// messages in the batch.
func openPortal(further ...[]byte) [][]byte {
	return append([][]byte{parse("s", selectPart), bind("p", "s", "a")}, further...)
}

// phasePgEngine is the script of goldenPgEngine with two more responses: the description of an INSERT has no columns,
// and the response to the statement empty_reply is an EmptyQueryResponse.
func phasePgEngine(request pgRequest) []byte {
	switch {
	case request.describe && strings.Contains(strings.ToLower(request.query), "insert"):
		return bytes.Join([][]byte{parseComplete, pgproto.AppendMessage(nil, 't', oneParameter), noData}, nil)
	case !request.describe && strings.Contains(request.query, "empty_reply"):
		return bytes.Join([][]byte{parseComplete, bindComplete, noData, pgproto.AppendMessage(nil, 'I')}, nil)
	}
	return goldenPgEngine(request)
}

// Each batch is sent in one piece and has a response up to ReadyForQuery. For an empty batch, the test only reads the
// response to a message of an earlier batch.
func TestGoldenPostgres_EachPhaseRespondsToItsBatches(t *testing.T) {
	message := func(kind byte, body string) []byte { return pgproto.AppendMessage(nil, kind, []byte(body)) }
	const missing = "SELECT * FROM missing"
	describeP := describe("P", "p")
	bindMissing := [][]byte{parse("s", missing), bind("p", "s")}
	for name, batches := range map[string][][][]byte{
		// The description of a portal is deferred until the next message.
		"describe-other-execute": {openPortal(bind("q", "s", "b"), describeP, execute("q", 0), syncMessage)},
		"describe-query":         {openPortal(describeP, query("SELECT 1")), {execute("p", 0), syncMessage}},
		"describe-twice":         {openPortal(describeP, describeP, describe("S", "s"), syncMessage)},
		"describe-close":         {openPortal(describeP, closeMessage("P", "p"), syncMessage)},
		"describe-flush":         {openPortal(describeP, flushMessage, execute("p", 0), syncMessage)},
		"describe-bind":          {openPortal(describeP, bind("", "s", "b"), execute("", 0), syncMessage)},
		"describe-parse":         {openPortal(describeP, parse("", insertPart), execute("p", 0), syncMessage)},
		"describe-after-run":     {openPortal(execute("p", 1), describeP, execute("p", 0), syncMessage)},
		"describe-unnamed": {
			{parse("", selectPart), bind("", ""), describe("P", ""), bind("", "", "b"), execute("", 0), syncMessage},
		},
		"describe-empty": {
			{parse("e", ""), describe("S", "e"), bind("", "e"), describe("P", ""), execute("", 0), syncMessage},
			{bind("", "e"), describe("P", ""), syncMessage},
		},
		"describe-no-columns": {
			{parse("s", insertPart), bind("", "s", "key"), describe("P", ""), execute("", 0), syncMessage},
			{describe("S", "s"), bind("", "s", "other"), describe("P", ""), syncMessage},
		},
		"describe-error": {
			{parse("s", missing), describe("S", "s"), describe("S", "s"), syncMessage},
			{describe("S", "s"), syncMessage},
		},
		"describe-error-deferred": {append(bindMissing, describeP, query("SELECT 1"), syncMessage)},
		"describe-error-sync":     {append(bindMissing, describeP, syncMessage), {query("SELECT 1")}},
		"describe-binary": {
			{
				parse("s", selectPart), bindBinaryResult("p", "s", "a"), describeP, flushMessage, execute("p", 0),
				syncMessage,
			},
			{bindBinaryResult("", "s", "a"), describe("P", ""), execute("", 0), syncMessage},
		},
		"describe-execute-malformed": {openPortal(describeP, message('E', "p\x00"), syncMessage)},

		// Statements and portals.
		"portal-keeps-statement": {
			openPortal(closeMessage("S", "s"), execute("p", 0), bind("q", "s", "a"), syncMessage),
			{parse("s", insertPart), syncMessage},
		},
		"portal-keeps-unnamed-statement": {
			{parse("", selectPart), bind("p", "", "a"), parse("", insertPart), execute("p", 0), syncMessage},
		},
		"portal-closed":       {openPortal(execute("p", 1), closeMessage("P", "p"), execute("p", 0), syncMessage)},
		"portal-exact-rows":   {openPortal(execute("p", 3), execute("p", 0), execute("p", 0), syncMessage)},
		"portal-negative-max": {openPortal(execute("p", -1), syncMessage)},
		"portal-replaced": {
			openPortal(bind("", "s", "a"), execute("", 1), bind("", "s", "b"), execute("", 0), syncMessage),
		},
		"portal-load-limited": {{parse("", insertPart), bind("", "", "key"), execute("", 1), syncMessage}},
		"portal-empty-reply": {
			{parse("", "SELECT empty_reply"), bind("p", ""), execute("p", 0), syncMessage},
			{query("SELECT empty_reply")},
		},
		"set-by-parse": {{parse("", "SET statement_timeout = '80ms'"), syncMessage}},

		// A Query is sent within a batch, or in one piece with other Query messages.
		"query-in-batch": {openPortal(query("SELECT 1")), {execute("p", 0), syncMessage}},
		"query-error-in-batch": {
			{parse("s", selectPart), query("BEGIN")},
			{bind("", "s", "a"), execute("", 0), syncMessage},
		},
		"query-pipelined":       {{query("SELECT 1"), query(missing), query("SELECT 2")}, {}, {}},
		"query-set-pipelined":   {{query("SET statement_timeout = 500"), query("SELECT 1"), query("")}, {}, {}},
		"query-malformed-first": {{message('Q', "SELECT 1"), query("SELECT 2")}, {}},

		// After an error, all messages up to Sync are skipped.
		"skipping-each-kind": {
			append([][]byte{bind("", "none")}, openPortal(
				describe("S", "s"), describeP, execute("p", 0), closeMessage("S", "s"), query("SELECT 1"),
				message('F', "\x00"), message('p', "x\x00"), message('d', "x"), message('P', "malformed"),
				flushMessage, syncMessage)...),
			{bind("", "s", "a"), syncMessage},
		},
		"skipping-behind-response": {
			append(bindMissing, execute("p", 0), parse("t", selectPart), query("SELECT 1"), syncMessage),
			{bind("", "t", "a"), syncMessage},
		},
		"sync-only": {{syncMessage}, {flushMessage, syncMessage, syncMessage}, {}},
	} {
		t.Run(name, func(t *testing.T) { compareBatches(t, phasePgEngine, batches, "pgwire/phase-"+name) })
	}
}

// Without engines, a request is rejected synchronously, while the front end still handles its message.
func TestGoldenPostgres_EachPhaseRejectsAtOnce(t *testing.T) {
	recorder := newTranscript(t).recordPostgres("", startPostgres(t).addr)
	recorder.start()
	for _, messages := range [][][]byte{
		{parse("s", selectPart), describe("S", "s"), execute("", 0), syncMessage},
		{bind("p", "s", "a"), describe("P", "p"), syncMessage},
		{bind("p", "s", "a"), describe("P", "p"), query("SELECT 1"), syncMessage},
		{bind("p", "s", "a"), describe("P", "p"), execute("p", 0), syncMessage},
		{query("SELECT 1"), query("SELECT 2")},
		{},
	} {
		recorder.send(messages...)
		recorder.receiveUntilReady()
	}
	recorder.disconnect()
	recorder.compare("pgwire/phase-rejection")
}

var (
	// encryptionRequest asks for encryption, which is declined with one byte.
	encryptionRequest = pgproto.AppendStartup(nil, pgproto.SSLRequestCode, nil)
	// unmatchedCancel is a CancelRequest for a connection that does not exist.
	unmatchedCancel = pgproto.AppendStartup(nil, pgproto.CancelRequestCode, make([]byte, 8))
)

// The cases are startups that are sent in one piece with the messages after them, and startups with further options.
func TestGoldenPostgres_PipelinedStartupHasItsRecordedResponse(t *testing.T) {
	noUser := startupMessage(pgproto.ProtocolVersion, "database", "register")
	for name, tt := range map[string]struct {
		first     [][]byte // sent in one piece
		responses int      // number of ReadyForQuery messages that follow
		staysOpen bool
	}{
		"pipelined": {
			first:     [][]byte{deskStartup(), query("SELECT 1"), query("SELECT 2")},
			responses: 3, staysOpen: true,
		},
		"unknown-option": {
			first:     [][]byte{deskStartup("_pq_.unknown", "1", "_pq_.other", "2")},
			responses: 1, staysOpen: true,
		},
		"options-kept": {
			first:     [][]byte{deskStartup("options", "-c work_mem=1GB -x --statement-timeout=5s")},
			responses: 1, staysOpen: true,
		},
		"options-joined":     {first: [][]byte{deskStartup("options", "-cstatement_timeout=soon")}},
		"options-long":       {first: [][]byte{deskStartup("options", "--statement-timeout=soon")}},
		"cancel-pipelined":   {first: [][]byte{unmatchedCancel, deskStartup()}},
		"rejected-pipelined": {first: [][]byte{noUser, query("SELECT 1")}},
		"twice":              {first: [][]byte{deskStartup(), deskStartup()}, responses: 1},
	} {
		t.Run(name, func(t *testing.T) {
			addr, _ := startPgEngine(t, goldenPgEngine)
			recorder := newTranscript(t).recordPostgres("", startPostgres(t, addr).addr)
			recorder.send(tt.first...)
			for range tt.responses {
				recorder.receiveUntilReady()
			}
			if tt.staysOpen {
				recorder.disconnect()
			} else {
				recorder.recordClose()
			}
			recorder.compare("pgwire/phase-startup-" + name)
		})
	}
}

func TestGoldenPostgres_StartupMayComeInParts(t *testing.T) {
	front := startPostgres(t)
	recorder := newTranscript(t).recordPostgres("", front.addr)
	recorder.send(encryptionRequest[:3])
	front.awaitBuffered(3)
	recorder.send(encryptionRequest[3:])
	recorder.receiveByte()
	startup := deskStartup("database", "register")
	recorder.send(startup[:7])
	front.awaitBuffered(7)
	recorder.send(startup[7:])
	recorder.receiveUntilReady()
	recorder.disconnect()
	recorder.compare("pgwire/phase-startup-in-parts")
}

func TestGoldenPostgres_CancelRequestMayFollowADeclinedEncryption(t *testing.T) {
	recorder := newTranscript(t).recordPostgres("", startPostgres(t).addr)
	recorder.send(encryptionRequest)
	recorder.receiveByte()
	recorder.send(unmatchedCancel)
	recorder.recordClose()
	recorder.compare("pgwire/phase-startup-cancel-after-encryption")
}

// At the limit of clients, a startup is rejected and a CancelRequest is still carried out.
func TestGoldenPostgres_ClientPastTheLimitMayOnlyCancel(t *testing.T) {
	addr, seen := startPgEngine(t, goldenPgEngine)
	front := newFrontEnd(t, nil)
	front.pgOptions.MaxClients = 1
	front.servePostgres(addr)
	tr := newTranscript(t)
	first := tr.recordPostgres("first", front.addr)
	first.start()
	second := tr.recordPostgres("second", front.addr)
	second.send(deskStartup(), query("SELECT 1"))
	second.recordClose()
	first.send(query("SELECT silent"))
	await(t, seen)
	tr.recordCancel("cancel", front.addr, first.keyData)
	first.receiveUntilReady()
	first.disconnect()
	tr.compare("pgwire/phase-too-many-clients")
	front.assertCount("postgres.errors.53300", 0) // an error that closes a connection is not counted
	front.assertCount("postgres.malformed", 0)
}

// The cases are a Terminate and messages of an unknown kind, in each phase of a connection.
func TestGoldenPostgres_EachPhaseEndsWithItsLastMessage(t *testing.T) {
	unknownKind := []byte{'#', 0, 0, 0, 4}
	for name, tt := range map[string]struct {
		messages  [][]byte
		malformed int64
	}{
		"terminate-behind-describe": {openPortal(describe("P", "p"), terminateMessage), 0},
		"unknown-behind-describe":   {openPortal(describe("P", "p"), unknownKind), 1},
		"unknown-behind-execute":    {openPortal(execute("p", 1), unknownKind), 1},
		"unknown-while-skipping":    {[][]byte{bind("", "none"), unknownKind, syncMessage}, 1},
		"terminate-while-skipping":  {[][]byte{bind("", "none"), terminateMessage, syncMessage}, 0},
		"terminate-behind-query":    {[][]byte{query("SELECT 1"), terminateMessage, query("SELECT 2")}, 0},
		"terminate-behind-error":    {[][]byte{query("SELECT * FROM missing"), terminateMessage}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			addr, _ := startPgEngine(t, goldenPgEngine)
			front := startPostgres(t, addr)
			recorder := newTranscript(t).recordPostgres("", front.addr)
			recorder.start()
			recorder.send(tt.messages...)
			recorder.recordClose()
			recorder.compare("pgwire/phase-last-" + name)
			front.assertCount("postgres.malformed", tt.malformed)
		})
	}
}

// A client that sends a message only in part is disconnected with an error, or without an error during its startup. A
// client that sends the rest in time is served.
func TestGoldenPostgres_EachPhaseEndsAStalledClient(t *testing.T) {
	const partOfMessage = 5
	tr := newTranscript(t)
	front := startPostgres(t)
	startup := tr.recordPostgres("startup", startPostgres(t).addr)
	startup.send(deskStartup()[:partOfMessage])
	resumed := tr.recordPostgres("resumed", front.addr)
	resumed.start()
	resumed.send(query("")[:partOfMessage])
	front.awaitBuffered(partOfMessage)
	front.onLoop(func() {}) // the loop has handled the part
	resumed.send(query("")[partOfMessage:])
	resumed.receiveUntilReady()
	batch := tr.recordPostgres("batch", front.addr)
	batch.start()
	batch.send(parse("", selectPart), bind("", "")[:partOfMessage])
	front.awaitBuffered(partOfMessage)
	skipping := tr.recordPostgres("skipping", front.addr)
	skipping.start()
	skipping.send(bind("", "none"), parse("", selectPart)[:partOfMessage])
	startup.recordClose()
	batch.recordClose()
	skipping.recordClose()
	resumed.send(query("")) // after the time at which it would have been disconnected
	resumed.receiveUntilReady()
	resumed.disconnect()
	tr.compare("pgwire/phase-stalls")
	front.assertCount("postgres.stalled", 2)
	front.assertCount("postgres.malformed", 0)
	front.assertCount("postgres.errors.", 1) // the Bind names an unknown statement
}

// A CancelRequest ends the request in flight on the connection that it identifies, and no other request.
func TestGoldenPostgres_CancelRequestEndsTheRequestInFlightOfEachPhase(t *testing.T) {
	const silent = "SELECT silent"
	for name, tt := range map[string]struct {
		messages  [][]byte // the first request among them is cancelled
		responses int      // number of ReadyForQuery messages that follow
	}{
		"query":           {[][]byte{query(silent)}, 1},
		"query-pipelined": {[][]byte{query(silent), query("SELECT 1")}, 2},
		"describe": {
			[][]byte{parse("s", silent), describe("S", "s"), bind("", "s"), execute("", 0), syncMessage}, 1,
		},
		"describe-deferred": {
			[][]byte{parse("s", silent), bind("p", "s"), describe("P", "p"), syncMessage, query("SELECT 1")}, 2,
		},
		"describe-write": {[][]byte{parse("s", "UPDATE silent SET a = 1"), describe("S", "s"), syncMessage}, 1},
		"execute-batch": {
			[][]byte{parse("s", silent), bind("", "s"), execute("", 0), flushMessage, syncMessage, query("")}, 2,
		},
	} {
		t.Run(name, func(t *testing.T) {
			addr, seen := startPgEngine(t, goldenPgEngine)
			tr := newTranscript(t)
			front := startPostgres(t, addr)
			client := tr.recordPostgres("client", front.addr)
			client.start()
			tr.recordCancel("early", front.addr, client.keyData) // nothing is in flight
			client.send(tt.messages...)
			await(t, seen)
			tr.recordCancel("cancel", front.addr, client.keyData)
			for range tt.responses {
				client.receiveUntilReady()
			}
			tr.recordCancel("late", front.addr, client.keyData)
			client.send(syncMessage)
			client.receiveUntilReady()
			client.disconnect()
			tr.compare("pgwire/phase-cancel-" + name)
			front.assertCount("postgres.cancel-requests", 1)
		})
	}
}

// A graceful shutdown closes a connection without a request in flight at once, and a connection with a request in
// flight after the ReadyForQuery of the request.
func TestGoldenPostgres_GracefulShutdownEndsEachPhase(t *testing.T) {
	release := make(chan struct{})
	addr, _ := startPgEngine(t, func(request pgRequest) []byte {
		<-release
		return goldenPgEngine(request)
	})
	tr := newTranscript(t)
	front := startPostgres(t, addr)
	connect := func(name, received string, messages ...[]byte) *pgRecorder {
		t.Helper()
		recorder := tr.recordPostgres(name, front.addr)
		recorder.start()
		recorder.send(messages...)
		for range received { // received contains the kinds of the messages before the drain
			recorder.receiveMessage()
		}
		return recorder
	}
	starting := tr.recordPostgres("starting", front.addr)
	front.awaitCount("postgres.connections", 1)
	idle := []*pgRecorder{
		starting,
		connect("batch", "12", openPortal()...),
		connect("describe", "12", openPortal(describe("P", "p"))...),
		connect("skipping", "E", bind("", "none"), parse("", selectPart)),
	}
	busy := []*pgRecorder{
		connect("query", "", query("SELECT 1"), query("SELECT 2")),
		connect("error", "", query("SELECT * FROM missing")),
		connect("extended", "", openPortal(execute("p", 0), bind("", "s", "b"), execute("", 0), syncMessage)...),
		connect("unsynced", "", openPortal(execute("p", 0))...),
	}
	front.awaitCount("attempts.started.", int64(len(busy)))
	front.onLoop(front.server.Drain)
	tr.addEvent("", "the drain begins")
	for _, recorder := range idle {
		recorder.recordClose()
	}
	close(release)
	for _, recorder := range busy[:len(busy)-1] {
		recorder.recordClose()
	}
	unsynced := busy[len(busy)-1]
	for range "12DDDC" {
		unsynced.receiveMessage()
	}
	tr.addEvent("", "the drain ends")
	front.onLoop(front.server.Finish)
	unsynced.recordClose()
	tr.compare("pgwire/phase-drain")
}
