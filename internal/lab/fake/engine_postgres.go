package fake

import (
	"encoding/binary"
	"errors"
	"log/slog"
	"net"
	"regexp"
	"slices"
	"strconv"
	"time"

	"flaxrelay/internal/pgproto"
)

// maxMessageLength limits a message from a front end, in bytes.
const maxMessageLength = 1 << 20

// oidText is the object id of PostgreSQL's type for text.
const oidText = 25

// rowDescription is the body of a RowDescription with one column of text.
var rowDescription = slices.Concat(
	[]byte{0, 1}, pgproto.CString("asked"), // one column, with its name
	[]byte{0, 0, 0, 0, 0, 0},                               // not a column of a table
	[]byte{0, 0, 0, oidText, 255, 255, 255, 255, 255, 255}, // its type, of variable size
	[]byte{0, 0}, // in text
)

// ServePostgres serves the PostgreSQL wire protocol on a listener until the listener is closed. A connection
// runs one statement at a time. The result is one row with the text of the statement.
func ServePostgres(listener net.Listener, work Work, log *slog.Logger) {
	serveConnections(listener, func(conn net.Conn) {
		c := &postgresConnection{conn: conn, work: work, log: log, prepared: map[string]string{}}
		if err := c.serve(); err != nil {
			log.Warn("connection ended", "error", err)
		}
	})
}

// postgresConnection is a connection from a front end. It is not safe for concurrent use.
type postgresConnection struct {
	conn     net.Conn
	work     Work
	log      *slog.Logger
	unread   []byte
	unsent   []byte
	query    string            // the query that was parsed, bound or described last
	prepared map[string]string // query of each prepared statement, by name
}

// serve responds to the messages of the connection, one after the other.
func (c *postgresConnection) serve() error {
	cancelRequest, err := c.readStartup()
	if err != nil || cancelRequest {
		return err
	}
	c.queueStartupResponse()
	for {
		if err := c.flush(); err != nil {
			return err
		}
		kind, body, n, err := pgproto.ParseMessage(c.unread, maxMessageLength)
		if err != nil {
			return err
		}
		if n == 0 {
			if !c.readMore() {
				return nil // the front end has disconnected
			}
			continue
		}
		c.respond(kind, body)
		c.unread = c.unread[n:]
	}
}

// readMore reads from the connection and appends the bytes to unread. It returns false if the front end has
// disconnected.
func (c *postgresConnection) readMore() bool {
	const chunkSize = 8192
	chunk := make([]byte, chunkSize)
	n, err := c.conn.Read(chunk)
	c.unread = append(c.unread, chunk[:n]...)
	return err == nil
}

// errNoStartup reports a connection that was closed before its first message was complete.
var errNoStartup = errors.New("the front end disconnected before its startup message")

// readStartup reads the first message. A CancelRequest is the only message on its connection.
func (c *postgresConnection) readStartup() (cancelRequest bool, err error) {
	for {
		code, _, n, err := pgproto.ParseStartup(c.unread)
		if err != nil {
			return false, err
		}
		c.unread = c.unread[n:]
		if n > 0 && code == pgproto.CancelRequestCode {
			c.log.Info("request cancelled")
			return true, nil
		}
		if n > 0 {
			return false, nil
		}
		if !c.readMore() {
			return false, errNoStartup
		}
	}
}

func (c *postgresConnection) queueStartupResponse() {
	const (
		authenticationOK = 0
		processNumber    = 1
		secret           = 1
	)
	c.queue(pgproto.ServerAuthentication, pgproto.Int32(authenticationOK))
	c.queue(pgproto.ServerBackendKeyData, pgproto.Int32(processNumber), pgproto.Int32(secret))
	c.queueReadyForQuery()
}

func (c *postgresConnection) queueReadyForQuery() {
	c.queue(pgproto.ServerReadyForQuery, []byte{pgproto.TransactionIdle})
}

// queue appends a message to unsent.
func (c *postgresConnection) queue(kind byte, parts ...[]byte) {
	c.unsent = pgproto.AppendMessage(c.unsent, kind, parts...)
}

func (c *postgresConnection) flush() error {
	if len(c.unsent) == 0 {
		return nil
	}
	_, err := c.conn.Write(c.unsent)
	c.unsent = c.unsent[:0]
	return err
}

// respond queues the response to one message.
func (c *postgresConnection) respond(kind byte, body []byte) {
	r := pgproto.Reader{Unread: body}
	switch kind {
	case pgproto.ClientParse:
		name := r.CString()
		c.query = r.CString()
		c.prepared[name] = c.query
		c.log.Info("request received", "statement", abbreviate(c.query))
		c.queue(pgproto.ServerParseComplete)
	case pgproto.ClientBind:
		r.CString() // the portal
		c.query = c.prepared[r.CString()]
		c.queue(pgproto.ServerBindComplete)
	case pgproto.ClientDescribe:
		if r.Byte() == pgproto.TargetStatement {
			c.query = c.prepared[r.CString()]
			c.queue(pgproto.ServerParameterDescription, parameterDescription(c.query))
		}
		c.queue(pgproto.ServerRowDescription, rowDescription)
	case pgproto.ClientExecute:
		duration, _ := c.work(c.query)
		time.Sleep(duration)
		c.queue(pgproto.ServerDataRow, []byte{0, 1}, pgproto.Int32(len(c.query)), []byte(c.query)) // one column
		c.queue(pgproto.ServerCommandComplete, pgproto.CString("SELECT 1"))
	case pgproto.ClientSync:
		c.queueReadyForQuery()
	}
}

var parameterPattern = regexp.MustCompile(`\$([0-9]+)`)

// parameterDescription returns the body of a ParameterDescription. Every parameter has the type text, and
// the highest parameter number in the statement is the number of parameters.
func parameterDescription(query string) []byte {
	const maxParameters = 100
	count := 0
	for _, match := range parameterPattern.FindAllStringSubmatch(query, -1) {
		if number, err := strconv.Atoi(match[1]); err == nil && number <= maxParameters {
			count = max(count, number)
		}
	}
	body := binary.BigEndian.AppendUint16(nil, uint16(count))
	for range count {
		body = append(body, pgproto.Int32(oidText)...)
	}
	return body
}
