package e2e

import (
	"bytes"
	"errors"
	"io"
	"net"
	"strings"
	"testing"

	"flaxrelay/internal/pgproto"
)

// maxClientMessage limits the length in bytes of a message that a scripted PostgreSQL client reads.
const maxClientMessage = 1 << 24

// Statements that several tests use.
const (
	selectPart = "SELECT part FROM stock_1.parts WHERE id = $1"
	insertPart = "INSERT INTO stock_1.parts VALUES ($1)"
)

// pgClient is a PostgreSQL client that sends messages as a test has encoded them. The messages may be malformed.
type pgClient struct {
	t       *testing.T
	conn    net.Conn
	unread  []byte
	keyData []byte // the body of the latest BackendKeyData: process number and secret
}

// connectPostgres connects and completes the startup as the user "desk", with further parameters.
func connectPostgres(t *testing.T, addr string, params ...string) *pgClient {
	t.Helper()
	client := &pgClient{t: t, conn: dial(t, addr)}
	client.send(deskStartup(params...))
	client.receiveUntil('Z')
	return client
}

// deskStartup returns the first message of a connection of the user "desk", with further parameters.
func deskStartup(params ...string) []byte {
	return startupMessage(pgproto.ProtocolVersion, append([]string{"user", "desk"}, params...)...)
}

// startupMessage returns the first message of a connection, with its parameters.
func startupMessage(version uint32, params ...string) []byte {
	var body []byte
	for _, param := range params {
		body = append(body, pgproto.CString(param)...)
	}
	return pgproto.AppendStartup(nil, version, append(body, 0))
}

func parse(name, query string) []byte {
	return pgproto.AppendMessage(nil, 'P', pgproto.CString(name), pgproto.CString(query), []byte{0, 0})
}

func bind(portal, name string, values ...string) []byte {
	b := []byte{0, 0, 0, byte(len(values))}
	for _, value := range values {
		b = append(append(b, pgproto.Int32(len(value))...), value...)
	}
	return pgproto.AppendMessage(nil, 'B', pgproto.CString(portal), pgproto.CString(name), b, []byte{0, 0})
}

func execute(portal string, maxRows int) []byte {
	return pgproto.AppendMessage(nil, 'E', pgproto.CString(portal), pgproto.Int32(maxRows))
}

func describe(kind, name string) []byte {
	return pgproto.AppendMessage(nil, 'D', []byte(kind), pgproto.CString(name))
}

// closeMessage returns a Close of a statement ("S") or a portal ("P").
func closeMessage(kind, name string) []byte {
	return pgproto.AppendMessage(nil, 'C', []byte(kind), pgproto.CString(name))
}

// bindBinaryResult returns a Bind of one value that asks for results in the binary format.
func bindBinaryResult(portal, statement, value string) []byte {
	values := append([]byte{0, 0, 0, 1}, pgproto.Int32(len(value))...)
	values = append(values, value...)
	resultFormats := []byte{0, 1, 0, 1}
	return pgproto.AppendMessage(nil, 'B', pgproto.CString(portal), pgproto.CString(statement), values, resultFormats)
}

func query(text string) []byte { return pgproto.AppendMessage(nil, 'Q', pgproto.CString(text)) }

var (
	syncMessage      = pgproto.AppendMessage(nil, 'S')
	flushMessage     = pgproto.AppendMessage(nil, 'H')
	terminateMessage = pgproto.AppendMessage(nil, 'X')
)

// runUnnamed returns a batch that parses, binds and executes one unnamed statement.
func runUnnamed(text string, values ...string) [][]byte {
	return [][]byte{parse("", text), bind("", "", values...), execute("", 0), syncMessage}
}

func (c *pgClient) send(messages ...[]byte) {
	c.t.Helper()
	for _, message := range messages {
		if _, err := c.conn.Write(message); err != nil {
			c.t.Fatal(err)
		}
	}
}

// receiveUntil reads up to a message of the kind, or the end of the connection, and describes what it read: the kind of
// each message, with its tag, row or error code in parentheses.
func (c *pgClient) receiveUntil(last byte) string {
	c.t.Helper()
	var words []string
	for {
		kind, body, n, _ := pgproto.ParseMessage(c.unread, maxClientMessage)
		if n == 0 {
			if c.readMore() {
				continue
			}
			return strings.Join(append(words, "end"), " ")
		}
		words = append(words, c.describeMessage(kind, body))
		c.unread = c.unread[n:]
		if kind == last {
			return strings.Join(words, " ")
		}
	}
}

// receiveUntilReady reads up to a ReadyForQuery.
func (c *pgClient) receiveUntilReady() string {
	c.t.Helper()
	return c.receiveUntil('Z')
}

// receiveUntilEnd reads to the end of the connection.
func (c *pgClient) receiveUntilEnd() string {
	c.t.Helper()
	return c.receiveUntil(0)
}

// readMore appends what arrives to unread, and reports whether the connection is still open.
func (c *pgClient) readMore() (more bool) {
	c.t.Helper()
	c.unread, more = readMoreOrFail(c.t, c.conn, c.unread)
	return more
}

// readMoreOrFail appends what arrives to unread, and reports whether the connection is still open. It fails the test if
// the connection ended with an error instead of being closed by its peer.
func readMoreOrFail(t *testing.T, conn net.Conn, unread []byte) (appended []byte, more bool) {
	t.Helper()
	unread, err := readChunk(conn, unread)
	if err != nil && !errors.Is(err, io.EOF) {
		t.Fatalf("after %.200q: %v", unread, err)
	}
	return unread, err == nil
}

// readChunk appends what arrives to unread.
func readChunk(conn net.Conn, unread []byte) (appended []byte, err error) {
	const chunkSize = 4096
	chunk := make([]byte, chunkSize)
	n, err := conn.Read(chunk)
	return append(unread, chunk[:n]...), err
}

// sendCancel sends a CancelRequest and waits until the front end closes its connection.
func sendCancel(t *testing.T, addr string, keyData []byte) {
	t.Helper()
	conn := dial(t, addr)
	_, _ = conn.Write(pgproto.AppendStartup(nil, pgproto.CancelRequestCode, keyData))
	_, _ = conn.Read(make([]byte, 1))
}

func (c *pgClient) describeMessage(kind byte, body []byte) string {
	c.t.Helper()
	word := string(kind)
	switch kind {
	case 'C':
		word += "(" + strings.TrimRight(string(body), "\x00") + ")"
	case 'D':
		const beforeValue = 6 // bytes: the number of columns, and the value's length
		word += "(" + string(body[beforeValue:]) + ")"
	case 'E':
		e, err := pgproto.ParseError(body)
		if err != nil {
			c.t.Fatal(err)
		}
		word += "(" + e.Code
		if e.Hint != "" {
			word += " hint"
		}
		word += ")"
	case 'K':
		c.keyData = bytes.Clone(body)
	}
	return word
}
