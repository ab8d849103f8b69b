package e2e

import (
	"bytes"
	"encoding/binary"
	"net"
	"regexp"
	"strings"
	"testing"

	"flaxrelay/internal/pgproto"
)

// Two values of the PostgreSQL front are drawn at random, and only these are replaced in
// the transcripts: the secret of BackendKeyData, and the figure of the hint when to try
// again, together with the length of the message that holds it.
var (
	tryAgain   = regexp.MustCompile(`Try again in [1-9][0-9]{0,3} ms\.`)
	secretMark = []byte("<secret>")
)

// pgExchange is one recorded connection to the PostgreSQL front.
type pgExchange struct {
	*transcript
	name string
	conn net.Conn
	in   []byte
	key  []byte // of its latest BackendKeyData: the process number and the secret
}

func (tr *transcript) pgwire(name, addr string) *pgExchange {
	return &pgExchange{transcript: tr, name: name, conn: dial(tr.t, addr)}
}

// send writes messages, each of which is recorded as one piece.
func (x *pgExchange) send(messages ...[]byte) {
	x.t.Helper()
	for _, m := range messages {
		x.add(x.name, ">", m)
	}
	if _, err := x.conn.Write(bytes.Join(messages, nil)); err != nil {
		x.t.Fatal(err)
	}
}

// fill reads some more; it tells whether the front end has closed the connection.
func (x *pgExchange) fill() (ended bool) {
	x.t.Helper()
	p := make([]byte, 4096)
	n, err := x.conn.Read(p)
	x.in = append(x.in, p[:n]...)
	if err != nil && err.Error() != "EOF" {
		x.t.Fatalf("after %q: %v", x.in, err)
	}
	return err != nil
}

// receiveByte reads the one byte that answers a request for encryption.
func (x *pgExchange) receiveByte() {
	x.t.Helper()
	for len(x.in) == 0 {
		if x.fill() {
			x.t.Fatal("the connection was closed")
		}
	}
	x.add(x.name, "<", x.in[:1])
	x.in = x.in[1:]
}

// receive reads messages up to one of the kind.
func (x *pgExchange) receive(last byte) {
	x.t.Helper()
	for {
		kind, n := x.message()
		switch {
		case n > 0 && kind == last:
			return
		case n == 0 && x.fill():
			x.t.Fatalf("the connection was closed before %q; unread: %q", last, x.in)
		}
	}
}

// message records the next message if it is whole.
func (x *pgExchange) message() (kind byte, n int) {
	if len(x.in) < 5 {
		return 0, 0
	}
	kind, n = x.in[0], 1+int(binary.BigEndian.Uint32(x.in[1:]))
	if len(x.in) < n {
		return 0, 0
	}
	whole := x.in[:n]
	x.in = x.in[n:]
	if kind == 'K' && n == 13 {
		x.key = bytes.Clone(whole[5:])
		whole = append(bytes.Clone(whole[:9]), secretMark...)
	}
	if replaced := tryAgain.ReplaceAll(whole, []byte("Try again in FIGURE ms.")); !bytes.Equal(replaced, whole) {
		binary.BigEndian.PutUint32(replaced[1:], uint32(len(replaced)-1))
		whole = replaced
	}
	x.add(x.name, "<", whole)
	return kind, n
}

// readToEnd records all that comes until the connection ends.
func (x *pgExchange) readToEnd() {
	x.t.Helper()
	for ended := false; !ended; {
		ended = x.fill()
	}
	for n := 1; n > 0; {
		_, n = x.message()
	}
	if len(x.in) > 0 {
		x.add(x.name, "<", x.in)
	}
}

// closed reads to the end that the front makes.
func (x *pgExchange) closed() {
	x.t.Helper()
	x.readToEnd()
	x.event(x.name, "closed by the front end")
}

// hangUp ends the connection from the client's side; nothing more may have come.
func (x *pgExchange) hangUp() {
	x.t.Helper()
	closeWrite(x.t, x.conn)
	x.readToEnd()
	x.event(x.name, "closed by the client")
}

// startup is a connection's first message with its parameters.
func startup(version uint32, params ...string) []byte {
	var body []byte
	for _, p := range params {
		body = append(body, pgproto.Str(p)...)
	}
	return pgproto.AppendStartup(nil, version, append(body, 0))
}

// start records a plain startup.
func (x *pgExchange) start(params ...string) {
	x.t.Helper()
	x.send(startup(pgproto.Version, append([]string{"user", "desk"}, params...)...))
	x.receive('Z')
}

// goldenPgEngine answers by the statement's text.
func goldenPgEngine(c pgCall) []byte {
	switch {
	case strings.Contains(c.query, "silent"):
		return nil
	case strings.Contains(c.query, "missing"):
		return pgError("42P01")
	case strings.Contains(c.query, "break_off"):
		return []byte(breakOff)
	case c.describe:
		return pgproto.Append(pgproto.Append(pgproto.Append(nil, '1'), 't', []byte{0, 1, 0, 0, 0, 25}), 'T', oneColumn)
	case strings.Contains(strings.ToLower(c.query), "insert"):
		return pgproto.Append(pgproto.Append(pgproto.Append(pgproto.Append(nil, '1'), '2'), 'n'), 'C', pgproto.Str("INSERT 0 1"))
	case strings.Contains(c.query, "no_rows"):
		return pgRows()
	}
	return pgRows("a", "b\x00\xff", "c")
}

// Startups that come up, and those that don't.
func TestGoldenPostgresStartup(t *testing.T) {
	encryption := func(code uint32) []byte { return pgproto.AppendStartup(nil, code, nil) }
	for name, tt := range map[string]struct {
		declined [][]byte // requests for encryption before the startup
		first    []byte
		starts   bool
	}{
		"plain":           {nil, startup(pgproto.Version, "user", "desk", "database", "register", "application_name", "x"), true},
		"encryption":      {[][]byte{encryption(pgproto.SSLReq), encryption(pgproto.GSSReq)}, startup(pgproto.Version, "user", "desk"), true},
		"later-minor":     {nil, startup(pgproto.Version+2, "user", "desk", "_pq_.unknown", "1"), true},
		"with-timeout":    {nil, startup(pgproto.Version, "user", "desk", "statement_timeout", "5s"), true},
		"with-options":    {nil, startup(pgproto.Version, "user", "desk", "options", "-c statement_timeout=5s --x=y"), true},
		"bad-timeout":     {nil, startup(pgproto.Version, "user", "desk", "statement_timeout", "soon"), false},
		"bad-options":     {nil, startup(pgproto.Version, "user", "desk", "options", "-c statement_timeout=soon"), false},
		"no-user":         {nil, startup(pgproto.Version, "database", "register"), false},
		"version-2":       {nil, startup(2<<16, "user", "desk"), false},
		"not-ended":       {nil, pgproto.AppendStartup(nil, pgproto.Version, []byte("user\x00desk")), false},
		"too-long":        {nil, []byte("\x00\x00\x27\x11\x00\x03\x00\x00"), false},
		"too-short":       {nil, []byte("\x00\x00\x00\x07\x00\x03\x00\x00"), false},
		"http":            {nil, []byte("GET / HTTP/1.1\r\n\r\n"), false},
		"cancel-of-none":  {nil, pgproto.AppendStartup(nil, pgproto.CancelReq, []byte("\x00\x00\x00\x09abcd")), false},
		"cancel-too-long": {nil, pgproto.AppendStartup(nil, pgproto.CancelReq, []byte("\x00\x00\x00\x09abcde")), false},
	} {
		t.Run(name, func(t *testing.T) {
			x := newTranscript(t).pgwire("", postgres(t).addr)
			for _, m := range tt.declined {
				x.send(m)
				x.receiveByte()
			}
			x.send(tt.first)
			if tt.starts {
				x.receive('Z')
				x.hangUp()
			} else {
				x.closed()
			}
			x.compare("pgwire/startup-" + name)
		})
	}
}

// Batches of messages, each of which is answered up to ReadyForQuery.
func TestGoldenPostgresBatches(t *testing.T) {
	const read, insert = "SELECT part FROM stock_1.parts WHERE id = $1", "INSERT INTO stock_1.parts VALUES ($1)"
	message := func(kind byte, body string) []byte { return pgproto.Append(nil, kind, []byte(body)) }
	run := func(text string, values ...string) [][]byte {
		return [][]byte{parse("", text), bind("", "", values...), execute("", 0), sync}
	}
	for name, batches := range map[string][][][]byte{
		"simple":             {{query("SELECT part FROM stock_1.parts")}, {query("SELECT no_rows")}},
		"simple-empty":       {{query(" -- nothing\n;")}},
		"simple-set":         {{query("SET statement_timeout = '80ms'")}, {query("SET SESSION statement_timeout TO DEFAULT")}},
		"simple-set-bad":     {{query("SET statement_timeout = 'soon'")}},
		"simple-set-other":   {{query("SET work_mem = '1GB'")}},
		"simple-error":       {{query("SELECT * FROM missing")}, {query("SELECT 1")}},
		"simple-transaction": {{query("BEGIN")}},
		"simple-two":         {{query("SELECT 1; SELECT 2")}},
		"simple-copy":        {{query("COPY x FROM STDIN")}},
		"simple-load":        {{query(insert)}},
		"simple-write":       {{query("UPDATE stock_1.parts SET part = 'insert'")}},
		"extended":           {run(read, "a")},
		"extended-load":      {run(insert, "key")},
		"extended-empty":     {run("")},
		"extended-described": {
			{parse("s", read), describe("S", "s"), sync},
			{bind("", "s", "a"), describe("P", ""), execute("", 0), bind("", "s", "b"), execute("", 0), sync},
			{bind("p", "s", "c"), describe("P", "p"), sync},
		},
		"extended-portal":  {{parse("", read), bind("p", "", "a"), execute("p", 2), flush, execute("p", 2), execute("p", 0), sync}, {execute("p", 0), sync}},
		"extended-close":   {{parse("s", read), message('C', "Ss\x00"), message('C', "Pp\x00"), bind("", "s", "a"), sync}},
		"error-engine":     {run("SELECT * FROM missing")},
		"error-skips":      {{parse("", "BEGIN"), bind("", ""), execute("", 0), query("SELECT 1"), sync}, run("SELECT 1")},
		"error-broken-off": {run("UPDATE break_off SET a = 1")},
		"error-class":      {run("/* class=x */ SELECT 1")},
		"error-comment":    {run("/* class=load key=$x */ SELECT 1")},
		"error-may-write":  {run("/* class=lookup */ DELETE FROM stock_1.parts")},
		"error-no-key":     {run("/* class=load */ SELECT f($1)", "k")},
		"error-null-key":   {run(insert, "")},
		"error-few-values": {run("/* class=load key=$2 */ SELECT f($1)", "k")},
		"error-statement":  {{bind("", "none"), sync}, {describe("S", "none"), sync}},
		"error-portal":     {{execute("none", 0), sync}, {describe("P", "none"), sync}},
		"error-twice":      {{parse("s", read), parse("s", read), sync}, {bind("p", "s", "a"), bind("p", "s", "a"), sync}},
		"error-values":     {{parse("s", read), describe("S", "s"), sync}, {bind("", "s", "a", "b"), sync}},
		"error-load-again": {{parse("", insert), bind("", "", "key"), execute("", 0), execute("", 0), sync}},
		"malformed-bodies": {
			{message('P', "x"), sync}, {message('B', "\x00\x00\x00\x07"), sync}, {message('D', "X\x00"), sync},
			{message('E', "\x00"), sync}, {message('C', "S"), sync}, {message('Q', "SELECT 1")},
		},
		"unsupported-call":     {{message('F', "\x00\x00\x00\x01"), sync}},
		"unsupported-password": {{message('p', "x\x00"), sync}},
		"copy-data-passed-by":  {{message('d', "x"), message('c', ""), message('f', "x\x00"), sync}},
	} {
		t.Run(name, func(t *testing.T) {
			addr, _ := pgEngine(t, goldenPgEngine)
			x := newTranscript(t).pgwire("", postgres(t, addr).addr)
			x.start()
			for _, messages := range batches {
				x.send(messages...)
				x.receive('Z')
			}
			x.hangUp()
			x.compare("pgwire/" + name)
		})
	}
}

// The module refuses a request that no engine could take, with word when to try again.
func TestGoldenPostgresRefused(t *testing.T) {
	x := newTranscript(t).pgwire("", postgres(t).addr)
	x.start()
	x.send(parse("", "SELECT 1"), bind("", ""), execute("", 0), sync)
	x.receive('Z')
	x.send(query("SELECT 1"))
	x.receive('Z')
	x.hangUp()
	x.compare("pgwire/refused")
}

// An engine says nothing until the statement's time is over: a statement that only reads
// has timed out, and one that may have run is in doubt.
func TestGoldenPostgresTimeout(t *testing.T) {
	for name, text := range map[string]string{"timeout": "SELECT silent", "timeout-write": "UPDATE silent SET a = 1"} {
		addr, _ := pgEngine(t, goldenPgEngine)
		x := newTranscript(t).pgwire("", postgres(t, addr).addr)
		x.start("statement_timeout", "80ms")
		x.send(query(text))
		x.receive('Z')
		x.hangUp()
		x.compare("pgwire/" + name)
	}
}

// Messages that can't be framed end their connections, and so does a Terminate.
func TestGoldenPostgresLastMessages(t *testing.T) {
	addr, _ := pgEngine(t, goldenPgEngine)
	for name, messages := range map[string][][]byte{
		"unknown-kind":     {{'#', 0, 0, 0, 4}},
		"length-too-small": {{'E', 0, 0, 0, 1}},
		"length-too-large": {{'Q', 0, 0x10, 0, 1}},
		"length-negative":  {{'Q', 0xff, 0xff, 0xff, 0xff}},
		"terminate":        {pgproto.Append(nil, 'X')},
		"behind-batch":     {query("SELECT 1"), {'#', 0, 0, 0, 4}},
	} {
		x := newTranscript(t).pgwire("", postgres(t, addr).addr)
		x.start()
		x.send(messages...)
		x.closed()
		x.compare("pgwire/last-" + name)
	}
}

// A CancelRequest with the right secret ends what its connection has open; one with a
// wrong secret is closed with no word, as is the right one.
func TestGoldenPostgresCancel(t *testing.T) {
	for name, text := range map[string]string{"cancel": "SELECT silent", "cancel-write": "UPDATE silent SET a = 1"} {
		addr, seen := pgEngine(t, goldenPgEngine)
		tr, g := newTranscript(t), postgres(t, addr)
		k := tr.pgwire("client", g.addr)
		k.start()
		k.send(parse("", text), bind("", ""), execute("", 0), sync)
		await(t, seen)
		wrong := append(bytes.Clone(k.key[:4]), k.key[4]+1, k.key[5], k.key[6], k.key[7])
		tr.cancel("wrong", g.addr, wrong)
		tr.cancel("right", g.addr, k.key)
		k.receive('Z')
		k.hangUp()
		tr.compare("pgwire/" + name)
	}
}

// cancel records a CancelRequest, with a mark in place of the secret.
func (tr *transcript) cancel(name, addr string, key []byte) {
	tr.t.Helper()
	x := tr.pgwire(name, addr)
	message := pgproto.AppendStartup(nil, pgproto.CancelReq, key)
	x.add(name, ">", append(bytes.Clone(message[:12]), secretMark...))
	if _, err := x.conn.Write(message); err != nil {
		tr.t.Fatal(err)
	}
	x.closed()
}

// A drain tells idle clients at once that the front end stops, and others behind their
// answers.
func TestGoldenPostgresDrain(t *testing.T) {
	release := make(chan struct{})
	addr, seen := pgEngine(t, func(c pgCall) []byte {
		<-release
		return goldenPgEngine(c)
	})
	tr, g := newTranscript(t), postgres(t, addr)
	idle, busy := tr.pgwire("idle", g.addr), tr.pgwire("busy", g.addr)
	idle.start()
	busy.start()
	busy.send(query("SELECT part FROM stock_1.parts"))
	g.awaitSent(1)
	g.do(g.drain)
	tr.event("", "the drain begins")
	idle.closed()
	close(release)
	busy.closed()
	await(t, seen)
	late := tr.pgwire("late", g.addr)
	late.send(startup(pgproto.Version, "user", "desk"))
	late.closed()
	tr.compare("pgwire/drain")
}
