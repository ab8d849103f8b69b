package e2e

import (
	"bytes"
	"fmt"
	"net"
	"testing"
	"time"

	"flaxrelay/internal/pgproto"
)

// maxEngineMessage limits the length in bytes of a message that a scripted PostgreSQL engine reads.
const maxEngineMessage = 1 << 20

// pgRequest describes the messages that a scripted PostgreSQL engine received up to a Sync.
type pgRequest struct {
	query    string
	bind     string // the body of the Bind after its two names
	describe bool
	parsed   bool // the batch has a Parse; otherwise its statement was prepared earlier
}

// cancelQuery is the query of the pgRequest that reports a CancelRequest.
const cancelQuery = "cancel"

var (
	parseComplete = pgproto.AppendMessage(nil, '1')
	bindComplete  = pgproto.AppendMessage(nil, '2')
	noData        = pgproto.AppendMessage(nil, 'n')
	readyForQuery = pgproto.AppendMessage(nil, 'Z', []byte("I"))
	insertOneRow  = bytes.Join([][]byte{
		parseComplete, bindComplete, noData, pgproto.AppendMessage(nil, 'C', pgproto.CString("INSERT 0 1")),
	}, nil)
	// oneColumn is the body of a RowDescription with one column of text.
	oneColumn = append(
		[]byte("\x00\x01part\x00"), 0, 0, 0, 0, 0, 0, 0, 0, 0, 25, 255, 255, 255, 255, 255, 255, 0, 0,
	)
	// oneParameter is the body of a ParameterDescription with one parameter of text.
	oneParameter = []byte{0, 1, 0, 0, 0, 25}
	// describeReply is the response to a Parse and a Describe of a statement.
	describeReply = bytes.Join([][]byte{
		parseComplete, pgproto.AppendMessage(nil, 't', oneParameter), pgproto.AppendMessage(nil, 'T', oneColumn),
	}, nil)
)

// startPgEngine starts a PostgreSQL engine that responds to each batch with the result of script. If script returns
// nil, the engine does not respond. The engine sends each batch to seen, and each CancelRequest as a request with
// cancelQuery.
func startPgEngine(t *testing.T, script func(pgRequest) []byte) (addr string, seen chan pgRequest) {
	t.Helper()
	return startSlowPgEngine(t, 0, script)
}

// startSlowPgEngine starts a PostgreSQL engine that delays its response to a startup.
func startSlowPgEngine(
	t *testing.T, startupTime time.Duration, script func(pgRequest) []byte,
) (addr string, seen chan pgRequest) {
	t.Helper()
	seen = make(chan pgRequest, seenCapacity)
	return listen(t, func(conn net.Conn) {
		c := &pgEngineConn{conn: conn, seen: seen, script: script, prepared: map[string]string{}}
		if !c.readStartup() {
			return
		}
		time.Sleep(startupTime) // the scenario needs real time to pass
		c.writeStartupReply()
		c.serve()
	}), seen
}

// pgEngineConn is one connection of a scripted PostgreSQL engine.
type pgEngineConn struct {
	conn     net.Conn
	unread   []byte
	seen     chan<- pgRequest
	script   func(pgRequest) []byte
	prepared map[string]string // query by the name of its statement
}

// readMore appends what arrives to unread, and reports whether the connection is still open.
func (c *pgEngineConn) readMore() bool {
	var err error
	c.unread, err = readChunk(c.conn, c.unread)
	return err == nil
}

// readStartup reads the first message, and reports whether batches follow it. No batches follow a CancelRequest.
func (c *pgEngineConn) readStartup() bool {
	for {
		code, _, n, _ := pgproto.ParseStartup(c.unread)
		c.unread = c.unread[n:]
		if n > 0 && code == pgproto.CancelRequestCode {
			c.seen <- pgRequest{query: cancelQuery}
			return false
		}
		if n > 0 {
			return true
		}
		if !c.readMore() {
			return false
		}
	}
}

func (c *pgEngineConn) writeStartupReply() {
	out := pgproto.AppendMessage(nil, 'R', pgproto.Int32(0))
	out = pgproto.AppendMessage(out, 'K', pgproto.Int32(7), pgproto.Int32(9))
	_, _ = c.conn.Write(append(out, readyForQuery...))
}

// serve responds to batches until the connection is closed.
func (c *pgEngineConn) serve() {
	var request pgRequest
	for {
		kind, body, n, _ := pgproto.ParseMessage(c.unread, maxEngineMessage)
		if n == 0 {
			if !c.readMore() {
				return
			}
			continue
		}
		if kind == 'S' {
			if !c.reply(request) {
				return
			}
			request = pgRequest{}
		} else {
			c.addMessage(&request, kind, body)
		}
		c.unread = c.unread[n:]
	}
}

// addMessage adds a message to the request that the next Sync completes.
func (c *pgEngineConn) addMessage(request *pgRequest, kind byte, body []byte) {
	r := pgproto.Reader{Unread: body}
	switch kind {
	case 'P':
		name := r.CString()
		c.prepared[name] = r.CString()
		request.parsed = true
	case 'D':
		if r.Byte() == 'S' {
			request.query = c.prepared[r.CString()]
			request.describe = true
		}
	case 'B':
		r.CString() // the portal
		request.query = c.prepared[r.CString()]
		request.bind = string(r.Unread)
	}
}

// reply responds to a request, and reports whether the connection stays open.
func (c *pgEngineConn) reply(request pgRequest) bool {
	response := c.script(request)
	c.seen <- request
	if string(response) == closeConnection {
		return false
	}
	if !request.parsed { // without a Parse there is no ParseComplete
		response = bytes.TrimPrefix(response, parseComplete)
	}
	if response != nil {
		_, _ = c.conn.Write(append(bytes.Clone(response), readyForQuery...))
	}
	return true
}

// pgRows returns the response to a batch, with text rows of one column.
func pgRows(rows ...string) []byte {
	b := append(bytes.Clone(parseComplete), bindComplete...)
	b = pgproto.AppendMessage(b, 'T', oneColumn)
	for _, row := range rows {
		b = pgproto.AppendMessage(b, 'D', []byte{0, 1}, pgproto.Int32(len(row)), []byte(row))
	}
	return pgproto.AppendMessage(b, 'C', pgproto.CString(fmt.Sprintf("SELECT %d", len(rows))))
}

// pgError returns an ErrorResponse with the code.
func pgError(code string) []byte {
	return pgproto.AppendMessage(nil, 'E', (&pgproto.Error{Severity: "ERROR", Code: code, Message: "no"}).Body())
}

// noPgReply is the script of an engine that does not respond to any batch.
func noPgReply(pgRequest) []byte { return nil }

// oneRowReply is the script of an engine that responds to each batch with one row.
func oneRowReply(pgRequest) []byte { return pgRows("a") }
