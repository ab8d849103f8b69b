package fake

import (
	"encoding/binary"
	"log/slog"
	"net"
	"regexp"
	"strconv"
	"time"

	"flaxrelay/internal/pgproto"
)

// maxMessageLength bounds a message of a front end.
const maxMessageLength = 1 << 20

// Object ids of PostgreSQL's types.
const oidText = 25

// rowDescription is the body of a RowDescription with one column of text.
var rowDescription = append([]byte{0, 1}, append([]byte("asked\x00"), 0, 0, 0, 0, 0, 0, 0, 0, 0, oidText, 255, 255, 255, 255, 255, 255, 0, 0)...)

// ServePostgres serves the PostgreSQL wire protocol on a listener until that is closed, one
// statement at a time on a connection, with one row that repeats the statement.
func ServePostgres(listener net.Listener, work Work, log *slog.Logger) {
	serveConnections(listener, func(conn net.Conn) {
		c := &postgresConnection{conn: conn, work: work, log: log, prepared: map[string]string{}}
		if err := c.serve(); err != nil {
			log.Warn("connection ended", "error", err)
		}
	})
}

// postgresConnection is one connection of a front end.
type postgresConnection struct {
	conn     net.Conn
	work     Work
	log      *slog.Logger
	unread   []byte
	unsent   []byte
	query    string            // that was parsed, bound or described last
	prepared map[string]string // query by the name of its statement
}

// serve answers one connection message by message.
func (c *postgresConnection) serve() error {
	cancelRequest, err := c.readStartup()
	if err != nil || cancelRequest {
		return err
	}
	c.queueStartupReply()
	for {
		if err := c.flush(); err != nil {
			return err
		}
		kind, body, n, err := pgproto.ParseMessage(c.unread, maxMessageLength)
		if err != nil {
			return err
		}
		if n == 0 {
			if c.readMore() != nil {
				return nil // the front end has disconnected
			}
			continue
		}
		c.answer(kind, body)
		c.unread = c.unread[n:]
	}
}

// readMore appends what arrives to unread.
func (c *postgresConnection) readMore() error {
	chunk := make([]byte, 8192)
	n, err := c.conn.Read(chunk)
	c.unread = append(c.unread, chunk[:n]...)
	return err
}

// readStartup reads the first message, which may be the only one: a CancelRequest.
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
		if err := c.readMore(); err != nil {
			return false, err
		}
	}
}

func (c *postgresConnection) queueStartupReply() {
	const processNumber, secret = 1, 1
	c.queue('R', pgproto.Int32(0))
	c.queue('K', pgproto.Int32(processNumber), pgproto.Int32(secret))
	c.queue('Z', []byte("I"))
}

// queue adds a message to those that wait to be sent.
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

// answer queues the answer to one message.
func (c *postgresConnection) answer(kind byte, body []byte) {
	r := pgproto.Reader{Unread: body}
	switch kind {
	case 'P':
		name := r.CString()
		c.query = r.CString()
		c.prepared[name] = c.query
		c.log.Info("request received", "statement", abbreviate(c.query))
		c.queue('1')
	case 'B':
		r.CString() // the portal
		c.query = c.prepared[r.CString()]
		c.queue('2')
	case 'D':
		if r.Byte() == 'S' {
			c.query = c.prepared[r.CString()]
			c.queue('t', parameterDescription(c.query))
		}
		c.queue('T', rowDescription)
	case 'E':
		took, _ := c.work(c.query)
		time.Sleep(took)
		c.queue('D', []byte{0, 1}, pgproto.Int32(len(c.query)), []byte(c.query))
		c.queue('C', pgproto.CString("SELECT 1"))
	case 'S':
		c.queue('Z', []byte("I"))
	}
}

var parameterPattern = regexp.MustCompile(`\$([0-9]+)`)

// parameterDescription describes as many text parameters as the statement names.
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
