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

// Two values of the PostgreSQL front end are random, and only these are replaced in the transcripts: the secret of
// BackendKeyData, and the time in a retry hint. The length of a message with such a hint is replaced too.
var (
	retryHint  = regexp.MustCompile(`Try again in [1-9][0-9]{0,3} ms\.`)
	secretMark = []byte("<secret>")
)

// pgRecorder is a recorded connection to the PostgreSQL front end.
type pgRecorder struct {
	*transcript
	name    string
	conn    net.Conn
	unread  []byte
	keyData []byte // the body of the latest BackendKeyData: process number and secret
}

// recordPostgres connects to a PostgreSQL front end. The name precedes each line of the connection in the transcript.
func (tr *transcript) recordPostgres(name, addr string) *pgRecorder {
	return &pgRecorder{transcript: tr, name: name, conn: dial(tr.t, addr)}
}

// send writes messages and records each message as one piece.
func (r *pgRecorder) send(messages ...[]byte) {
	r.t.Helper()
	for _, message := range messages {
		r.add(r.name, ">", message)
	}
	if _, err := r.conn.Write(bytes.Join(messages, nil)); err != nil {
		r.t.Fatal(err)
	}
}

// readMore appends what arrives to unread, and reports whether the connection is still open.
func (r *pgRecorder) readMore() (more bool) {
	r.t.Helper()
	r.unread, more = readMoreOrFail(r.t, r.conn, r.unread)
	return more
}

// receiveByte reads one byte, such as the response to an encryption request.
func (r *pgRecorder) receiveByte() {
	r.t.Helper()
	for len(r.unread) == 0 {
		if !r.readMore() {
			r.t.Fatal("the connection was closed")
		}
	}
	r.add(r.name, "<", r.unread[:1])
	r.unread = r.unread[1:]
}

// receiveMessage reads one message.
func (r *pgRecorder) receiveMessage() {
	r.t.Helper()
	for {
		_, n := r.recordMessage()
		if n > 0 {
			return
		}
		if !r.readMore() {
			r.t.Fatalf("the connection was closed; unread: %q", r.unread)
		}
	}
}

// compareBatches sends batches of messages to a front end with one engine. It sends each batch after the response to
// the previous batch, and compares the exchange with its golden file.
func compareBatches(t *testing.T, engine func(pgRequest) []byte, batches [][][]byte, goldenName string) {
	t.Helper()
	addr, _ := startPgEngine(t, engine)
	recorder := newTranscript(t).recordPostgres("", startPostgres(t, addr).addr)
	recorder.start()
	for _, messages := range batches {
		recorder.send(messages...)
		recorder.receiveUntilReady()
	}
	recorder.disconnect()
	recorder.compare(goldenName)
}

// receiveUntilReady reads messages up to a ReadyForQuery.
func (r *pgRecorder) receiveUntilReady() {
	r.t.Helper()
	for {
		kind, n := r.recordMessage()
		switch {
		case n > 0 && kind == 'Z':
			return
		case n == 0 && !r.readMore():
			r.t.Fatalf("the connection was closed before a ReadyForQuery; unread: %q", r.unread)
		}
	}
}

// recordMessage records the next message and returns its kind and length. If the message is incomplete, both are 0.
func (r *pgRecorder) recordMessage() (kind byte, n int) {
	const (
		headLength    = 5
		keyDataLength = 13
		secretAt      = 9
	)
	if len(r.unread) < headLength {
		return 0, 0
	}
	kind = r.unread[0]
	n = 1 + int(binary.BigEndian.Uint32(r.unread[1:]))
	if len(r.unread) < n {
		return 0, 0
	}
	message := r.unread[:n]
	r.unread = r.unread[n:]
	if kind == 'K' && n == keyDataLength {
		r.keyData = bytes.Clone(message[headLength:])
		message = append(bytes.Clone(message[:secretAt]), secretMark...)
	}
	if replaced := retryHint.ReplaceAll(message, []byte("Try again in FIGURE ms.")); !bytes.Equal(replaced, message) {
		binary.BigEndian.PutUint32(replaced[1:], uint32(len(replaced)-1))
		message = replaced
	}
	r.add(r.name, "<", message)
	return kind, n
}

// readToEnd records what arrives until the connection is closed.
func (r *pgRecorder) readToEnd() {
	r.t.Helper()
	for r.readMore() { // readMore appends to unread
		continue
	}
	for n := 1; n > 0; {
		_, n = r.recordMessage()
	}
	if len(r.unread) > 0 {
		r.add(r.name, "<", r.unread)
	}
}

// recordClose reads until the front end closes the connection.
func (r *pgRecorder) recordClose() {
	r.t.Helper()
	r.readToEnd()
	r.addEvent(r.name, "closed by the front end")
}

// disconnect half-closes the connection from the client's side, and records what arrives until the front end closes it.
func (r *pgRecorder) disconnect() {
	r.t.Helper()
	closeWrite(r.t, r.conn)
	r.readToEnd()
	r.addEvent(r.name, "closed by the client")
}

// start sends a startup of the user "desk", with further parameters, and reads the response up to ReadyForQuery.
func (r *pgRecorder) start(params ...string) {
	r.t.Helper()
	r.send(deskStartup(params...))
	r.receiveUntilReady()
}

// recordCancel sends a CancelRequest on a new connection and waits until the front end closes the connection. The
// CancelRequest is recorded with secretMark in place of the secret.
func (tr *transcript) recordCancel(name, addr string, keyData []byte) {
	tr.t.Helper()
	recorder := tr.recordPostgres(name, addr)
	message := pgproto.AppendStartup(nil, pgproto.CancelRequestCode, keyData)
	const secretAt = 12 // after the length, the code and the process number
	recorder.add(name, ">", append(bytes.Clone(message[:secretAt]), secretMark...))
	if _, err := recorder.conn.Write(message); err != nil {
		tr.t.Fatal(err)
	}
	recorder.recordClose()
}

// goldenPgEngine is the script of an engine whose response depends on the text of the statement.
func goldenPgEngine(request pgRequest) []byte {
	switch {
	case strings.Contains(request.query, "silent"):
		return nil
	case strings.Contains(request.query, "missing"):
		return pgError("42P01")
	case strings.Contains(request.query, "break_off"):
		return []byte(closeConnection)
	case request.describe:
		return describeReply
	case strings.Contains(strings.ToLower(request.query), "insert"):
		return insertOneRow
	case strings.Contains(request.query, "no_rows"):
		return pgRows()
	}
	return pgRows("a", "b\x00\xff", "c")
}
