package main

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// pgMessage returns one message of the PostgreSQL protocol.
func pgMessage(kind byte, parts ...[]byte) []byte {
	size := 4
	for _, p := range parts {
		size += len(p)
	}
	b := append([]byte{kind}, binary.BigEndian.AppendUint32(nil, uint32(size))...)
	for _, p := range parts {
		b = append(b, p...)
	}
	return b
}

func cstring(s string) []byte { return append([]byte(s), 0) }
func number16(n int) []byte   { return binary.BigEndian.AppendUint16(nil, uint16(n)) }
func number32(n int) []byte   { return binary.BigEndian.AppendUint32(nil, uint32(n)) }
func cut(b []byte) (string, []byte) {
	for i, c := range b {
		if c == 0 {
			return string(b[:i]), b[i+1:]
		}
	}
	return string(b), nil
}

// readMessage reads one message after the startup.
func readMessage(in *bufio.Reader) (kind byte, body []byte, err error) {
	head := make([]byte, 5)
	if _, err = io.ReadFull(in, head); err != nil {
		return 0, nil, err
	}
	body = make([]byte, int(binary.BigEndian.Uint32(head[1:]))-4)
	_, err = io.ReadFull(in, body)
	return head[0], body, err
}

// execution is one statement that a front end has an engine run.
type execution struct {
	query  string
	values []string
}

// pgEngine is a stand-in for a PostgreSQL engine.
type pgEngine struct {
	name string
	// execute runs a statement. It returns the rows, each of one column, and the tag; a nil tag ends the
	// connection with a reset, without an answer.
	execute func(e *pgEngine, x execution, conn net.Conn) (rows []string, tag string, alive bool)
	// afterAnswer is called with the bytes of an answer that was just sent.
	afterAnswer func(e *pgEngine, x execution, conn net.Conn, answer []byte)

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
}

func (e *pgEngine) listen() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	e.conns = map[net.Conn]bool{}
	e.listener = l
	go e.acceptAll(l)
	return l.Addr().String(), nil
}

func (e *pgEngine) acceptAll(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		e.conns[conn] = true
		e.mu.Unlock()
		go func() {
			_ = e.serve(conn)
			_ = conn.Close()
			e.mu.Lock()
			delete(e.conns, conn)
			e.mu.Unlock()
		}()
	}
}

// die ends the engine's process: its listener is gone, and its connections are reset.
func (e *pgEngine) die() {
	_ = e.listener.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	for conn := range e.conns {
		reset(conn)
	}
}

func (e *pgEngine) serve(conn net.Conn) error {
	in := bufio.NewReader(conn)
	head := make([]byte, 8)
	if _, err := io.ReadFull(in, head); err != nil {
		return err
	}
	rest := make([]byte, int(binary.BigEndian.Uint32(head))-8)
	if _, err := io.ReadFull(in, rest); err != nil {
		return err
	}
	if binary.BigEndian.Uint32(head[4:]) == 80877102 { // CancelRequest: running work goes on
		return nil
	}
	hello := pgMessage('R', number32(0))
	hello = append(hello, pgMessage('K', number32(1), number32(2))...)
	hello = append(hello, pgMessage('Z', []byte{'I'})...)
	if _, err := conn.Write(hello); err != nil {
		return err
	}
	statements := map[string]string{}
	var bound execution
	var answer []byte
	for {
		kind, body, err := readMessage(in)
		if err != nil {
			return err
		}
		switch kind {
		case 'P':
			name, tail := cut(body)
			query, _ := cut(tail)
			statements[name] = query
			answer = append(answer, pgMessage('1')...)
		case 'B':
			_, tail := cut(body)
			name, tail := cut(tail)
			bound = execution{query: statements[name], values: bindValues(tail)}
			answer = append(answer, pgMessage('2')...)
		case 'D':
			if body[0] == 'S' {
				answer = append(answer, pgMessage('t', number16(0))...)
			}
			answer = append(answer, rowDescription()...)
		case 'E':
			rows, tag, alive := e.execute(e, bound, conn)
			if !alive {
				reset(conn)
				return errors.New("reset")
			}
			for _, row := range rows {
				answer = append(answer, pgMessage('D', number16(1), number32(len(row)), []byte(row))...)
			}
			answer = append(answer, pgMessage('C', cstring(tag))...)
		case 'S':
			answer = append(answer, pgMessage('Z', []byte{'I'})...)
			if _, err := conn.Write(answer); err != nil {
				return err
			}
			if e.afterAnswer != nil {
				e.afterAnswer(e, bound, conn, append([]byte{}, answer...))
			}
			answer = nil
		case 'X':
			return nil
		}
	}
}

func rowDescription() []byte {
	return pgMessage('T', number16(1), cstring("a"), number32(0), number16(0), number32(25), number16(0xffff),
		number32(-1), number16(0))
}

// bindValues returns the values of a Bind after its two names, as text.
func bindValues(b []byte) (values []string) {
	formats := int(binary.BigEndian.Uint16(b))
	b = b[2+2*formats:]
	count := int(binary.BigEndian.Uint16(b))
	b = b[2:]
	for range count {
		size := int(int32(binary.BigEndian.Uint32(b)))
		b = b[4:]
		if size < 0 {
			values = append(values, "")
			continue
		}
		values = append(values, string(b[:size]))
		b = b[size:]
	}
	return values
}

// pgClient is a PostgreSQL client.
type pgClient struct {
	conn net.Conn
	in   *bufio.Reader
}

func dialPostgres(address string) (*pgClient, error) {
	conn, err := net.DialTimeout("tcp", address, 2*time.Second)
	if err != nil {
		return nil, err
	}
	parameters := append(cstring("user"), cstring("desk")...)
	parameters = append(parameters, 0)
	startup := binary.BigEndian.AppendUint32(nil, uint32(8+len(parameters)))
	startup = binary.BigEndian.AppendUint32(startup, 3<<16)
	if _, err := conn.Write(append(startup, parameters...)); err != nil {
		return nil, err
	}
	c := &pgClient{conn: conn, in: bufio.NewReader(conn)}
	for {
		kind, _, err := readMessage(c.in)
		if err != nil {
			return nil, err
		}
		if kind == 'Z' {
			return c, nil
		}
	}
}

// pgAnswer is the answer to one statement.
type pgAnswer struct {
	rows  []string
	tag   string // "": not served
	state string // SQLSTATE of the error; "": none
	text  string
}

func (a pgAnswer) String() string {
	if a.tag != "" {
		return fmt.Sprintf("served %q %v", a.tag, a.rows)
	}
	return fmt.Sprintf("error %s %s", a.state, a.text)
}

// run has one statement run with bound values, by the extended protocol.
func (c *pgClient) run(query string, values ...string) (pgAnswer, error) {
	b := pgMessage('P', cstring(""), cstring(query), number16(0))
	bind := append(cstring(""), cstring("")...)
	bind = append(bind, number16(0)...)
	bind = append(bind, number16(len(values))...)
	for _, v := range values {
		bind = append(bind, number32(len(v))...)
		bind = append(bind, v...)
	}
	bind = append(bind, number16(0)...)
	b = append(b, pgMessage('B', bind)...)
	b = append(b, pgMessage('D', []byte{'P'}, cstring(""))...)
	b = append(b, pgMessage('E', cstring(""), number32(0))...)
	b = append(b, pgMessage('S')...)
	var answer pgAnswer
	if _, err := c.conn.Write(b); err != nil {
		return answer, err
	}
	for {
		kind, body, err := readMessage(c.in)
		if err != nil {
			return answer, err
		}
		switch kind {
		case 'D':
			size := int(binary.BigEndian.Uint32(body[2:]))
			answer.rows = append(answer.rows, string(body[6:6+size]))
		case 'C':
			answer.tag, _ = cut(body)
		case 'E':
			answer.tag = ""
			for len(body) > 1 {
				field := body[0]
				var value string
				value, body = cut(body[1:])
				switch field {
				case 'C':
					answer.state = value
				case 'M':
					answer.text = value
				}
			}
		case 'Z':
			return answer, nil
		}
	}
}
