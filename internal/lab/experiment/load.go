package experiment

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"flaxrelay/internal/lab/workload"
	"flaxrelay/internal/pgproto"
)

const (
	// rejectedCode is the SQLSTATE of a statement that is rejected for lack of capacity.
	rejectedCode = "53000"
	// retryPause is the pause after a rejection.
	retryPause = 2 * time.Millisecond
	// clientStride is the distance between the first statements of successive clients, so that the clients
	// do not send the same statement at the same time.
	clientStride = 97
)

// loadGenerator runs PostgreSQL clients, each of which sends one statement after the other.
type loadGenerator struct {
	addr       string
	statements []workload.Statement
	clients    int // number of clients
}

// run sends the given number of requests and waits for all responses. It retries rejected requests,
// because the front end rejects all requests until it has discovered an engine.
func (g loadGenerator) run(ctx context.Context, requests int) error {
	var wg sync.WaitGroup
	errs := make([]error, g.clients)
	for i := range g.clients {
		wg.Go(func() { errs[i] = g.runClient(ctx, i*clientStride, requests/g.clients) })
	}
	wg.Wait()
	return errors.Join(errs...)
}

// runClient sends the requests of one client. first is the index of its first statement.
func (g loadGenerator) runClient(ctx context.Context, first, requests int) error {
	client, err := connect(ctx, g.addr)
	if err != nil {
		return err
	}
	defer client.close()
	for served := 0; served < requests; {
		rejected, err := client.execute(&g.statements[(first+served)%len(g.statements)])
		switch {
		case err != nil:
			return err
		case rejected: // the front end has not discovered an engine yet, or it sheds load
			time.Sleep(retryPause)
		default:
			served++
		}
	}
	return nil
}

// client is one PostgreSQL client. It is not safe for concurrent use.
type client struct {
	conn     net.Conn
	in       *bufio.Reader
	out      []byte
	prepared map[string]string // names of the prepared statements, by text
}

func connect(ctx context.Context, addr string) (*client, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("connect to the front end: %w", err)
	}
	if deadline, ok := ctx.Deadline(); ok {
		_ = conn.SetDeadline(deadline)
	}
	c := &client{conn: conn, in: bufio.NewReader(conn), prepared: map[string]string{}}
	parameters := append(append(pgproto.CString("user"), pgproto.CString("lab")...), 0)
	if _, err := conn.Write(pgproto.AppendStartup(nil, pgproto.ProtocolVersion, parameters)); err != nil {
		c.close()
		return nil, err
	}
	if _, err := c.readUntilReady(); err != nil {
		c.close()
		return nil, err
	}
	return c, nil
}

func (c *client) close() { _ = c.conn.Close() }

// execute sends a statement and reads its response.
func (c *client) execute(s *workload.Statement) (rejected bool, err error) {
	c.out = appendMessages(c.out[:0], s, c.prepared)
	if _, err := c.conn.Write(c.out); err != nil {
		return false, err
	}
	return c.readUntilReady()
}

// readUntilReady reads a response up to its ReadyForQuery. rejected is true if the response contains
// rejectedCode.
func (c *client) readUntilReady() (rejected bool, err error) {
	const lengthSize = 4 // size of the length, which counts itself
	head := make([]byte, 1+lengthSize)
	for {
		if _, err := io.ReadFull(c.in, head); err != nil {
			return false, fmt.Errorf("read a response: %w", err)
		}
		body := make([]byte, int(binary.BigEndian.Uint32(head[1:]))-lengthSize)
		if _, err := io.ReadFull(c.in, body); err != nil {
			return false, fmt.Errorf("read a response: %w", err)
		}
		switch head[0] {
		case 'E':
			pgError, err := pgproto.ParseError(body)
			if err != nil {
				return false, err
			}
			if pgError.Code != rejectedCode {
				return false, pgError
			}
			rejected = true
		case 'Z':
			return rejected, nil
		}
	}
}

// appendMessages appends the messages for one statement. A statement without values needs only a Query. Any
// other statement needs Bind, Execute and Sync, and before them a Parse if it is not prepared yet.
func appendMessages(out []byte, s *workload.Statement, prepared map[string]string) []byte {
	if len(s.Values) == 0 {
		return pgproto.AppendMessage(out, 'Q', pgproto.CString(s.Text))
	}
	name, ok := prepared[s.Text]
	if !ok {
		name = fmt.Sprintf("s%d", len(prepared))
		prepared[s.Text] = name
		const oidSize = 4
		types := append(binary.BigEndian.AppendUint16(nil, uint16(len(s.Types)/oidSize)), s.Types...)
		out = pgproto.AppendMessage(out, 'P', pgproto.CString(name), pgproto.CString(s.Text), types)
	}
	out = pgproto.AppendMessage(out, 'B', []byte{0}, pgproto.CString(name), bindBody(s))
	out = pgproto.AppendMessage(out, 'E', []byte{0}, pgproto.Int32(0))
	return pgproto.AppendMessage(out, 'S')
}

// bindBody returns the part of a Bind message that follows the names of the portal and the statement.
func bindBody(s *workload.Statement) []byte {
	const (
		formatSize = 2
		null       = -1 // length of a null value
	)
	body := binary.BigEndian.AppendUint16(nil, uint16(len(s.Formats)/formatSize))
	body = append(body, s.Formats...)
	body = binary.BigEndian.AppendUint16(body, uint16(len(s.Values)))
	for _, value := range s.Values {
		if value == nil {
			body = append(body, pgproto.Int32(null)...)
			continue
		}
		body = append(body, pgproto.Int32(len(value))...)
		body = append(body, value...)
	}
	return append(body, 0, 0) // no result formats: all results are text
}
