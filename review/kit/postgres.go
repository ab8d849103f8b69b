package main

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"time"
)

// pgMessage encodes one message of the PostgreSQL protocol.
func pgMessage(kind byte, parts ...[]byte) []byte {
	body := bytes.Join(parts, nil)
	out := []byte{kind}
	out = binary.BigEndian.AppendUint32(out, uint32(len(body)+4))
	return append(out, body...)
}

func pgInt32(n uint32) []byte     { return binary.BigEndian.AppendUint32(nil, n) }
func pgCString(s string) []byte   { return append([]byte(s), 0) }
func pgReady() []byte             { return pgMessage('Z', []byte{'I'}) }
func pgComplete(t string) []byte  { return pgMessage('C', pgCString(t)) }
func pgColumn(name string) []byte { return pgMessage('T', []byte{0, 1}, pgCString(name), pgColumnTail) }
func pgRow(value string) []byte {
	return pgMessage('D', []byte{0, 1}, pgInt32(uint32(len(value))), []byte(value))
}

// pgColumnTail describes a column of text that belongs to no table.
var pgColumnTail = []byte{0, 0, 0, 0, 0, 0, 0, 0, 0, 25, 255, 255, 255, 255, 255, 255, 0, 0}

// readPG reads one message after the startup.
func readPG(in io.Reader) (kind byte, body []byte, err error) {
	var head [5]byte
	if _, err := io.ReadFull(in, head[:]); err != nil {
		return 0, nil, err
	}
	length := binary.BigEndian.Uint32(head[1:])
	if length < 4 || length > 1<<22 {
		return 0, nil, errors.New("bad length")
	}
	body = make([]byte, length-4)
	_, err = io.ReadFull(in, body)
	return head[0], body, err
}

// readPGStartup reads a startup packet or a CancelRequest.
func readPGStartup(in io.Reader) (code uint32, err error) {
	var head [8]byte
	if _, err := io.ReadFull(in, head[:]); err != nil {
		return 0, err
	}
	length := binary.BigEndian.Uint32(head[:])
	if length < 8 || length > 1<<16 {
		return 0, errors.New("bad length")
	}
	_, err = io.CopyN(io.Discard, in, int64(length-8))
	return binary.BigEndian.Uint32(head[4:]), err
}

// pgEngine is a stand-in for a PostgreSQL engine. It answers and commits at each Sync, and records each statement that
// it has committed.
type pgEngine struct {
	name     string
	listener *net.TCPListener
	rec      *record
	// diesAfter reports whether the engine dies once it has committed the statement, before it answers.
	diesAfter func(statement string) bool

	mu        sync.Mutex
	conns     map[*net.TCPConn]bool
	committed []string
	dead      bool
}

func startPGEngine(rec *record, name string, diesAfter func(string) bool) (*pgEngine, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &pgEngine{name: name, listener: listener.(*net.TCPListener), rec: rec, diesAfter: diesAfter,
		conns: map[*net.TCPConn]bool{}}
	go func() {
		for {
			conn, err := e.listener.AcceptTCP()
			if err != nil {
				return
			}
			e.mu.Lock()
			e.conns[conn] = true
			e.mu.Unlock()
			go e.serve(conn)
		}
	}()
	return e, nil
}

// die resets all connections and refuses new ones, as a process that dies.
func (e *pgEngine) die() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dead = true
	e.listener.Close()
	for conn := range e.conns {
		conn.SetLinger(0)
		conn.Close()
	}
}

func (e *pgEngine) serve(conn *net.TCPConn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	if code, err := readPGStartup(in); err != nil || code != 196608 {
		return // a CancelRequest needs no answer
	}
	conn.Write(bytes.Join([][]byte{pgMessage('R', pgInt32(0)), pgMessage('K', pgInt32(7), pgInt32(7)), pgReady()}, nil))
	prepared := map[string]string{}
	var bound, executed string
	var answer []byte // sent at the Sync
	for {
		kind, body, err := readPG(in)
		if err != nil {
			return
		}
		first, rest, _ := bytes.Cut(body, []byte{0})
		switch kind {
		case 'P':
			text, _, _ := bytes.Cut(rest, []byte{0})
			prepared[string(first)] = string(text)
			answer = append(answer, pgMessage('1')...)
		case 'B':
			name, _, _ := bytes.Cut(rest, []byte{0})
			bound = prepared[string(name)]
			answer = append(answer, pgMessage('2')...)
		case 'D':
			answer = append(answer, pgColumn("x")...)
		case 'E':
			time.Sleep(50 * time.Millisecond) // the work
			executed = bound
			answer = append(append(answer, pgRow("1")...), pgComplete("SELECT 1")...)
		case 'S':
			if executed != "" && !e.commit(executed) {
				return
			}
			conn.Write(append(answer, pgReady()...))
			executed, answer = "", nil
		case 'X':
			return
		}
	}
}

// commit commits a statement, and reports whether the engine is alive afterwards.
func (e *pgEngine) commit(statement string) bool {
	e.mu.Lock()
	if e.dead {
		e.mu.Unlock()
		return false
	}
	e.committed = append(e.committed, statement)
	e.mu.Unlock()
	e.rec.add("engine %s  has run and committed  %s", e.name, statement)
	if e.diesAfter != nil && e.diesAfter(statement) {
		e.rec.add("engine %s  dies before it answers", e.name)
		e.die()
		return false
	}
	return true
}

func (e *pgEngine) count(statement string) (n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, run := range e.committed {
		if run == statement {
			n++
		}
	}
	return n
}

// startConsul serves the engines as instances of a service that never change.
func startConsul(service string, engines []*pgEngine) (addr string, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	var catalog, health []any
	for i, e := range engines {
		id := fmt.Sprintf("engine-%d", i+1)
		port := e.listener.Addr().(*net.TCPAddr).Port
		catalog = append(catalog, map[string]any{"Node": "n1", "Address": "127.0.0.1", "Datacenter": "dc1",
			"ServiceID": id, "ServicePort": port})
		health = append(health, map[string]any{"Node": map[string]any{"Node": "n1"}, "Service": map[string]any{"ID": id},
			"Checks": []any{map[string]any{"CheckID": "serfHealth", "Status": "passing"}}})
	}
	answer := func(body any) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Query().Get("index") == "1" {
				select {
				case <-time.After(30 * time.Second):
				case <-r.Context().Done():
					return
				}
			}
			w.Header().Set("X-Consul-Index", "1")
			json.NewEncoder(w).Encode(body)
		}
	}
	mux := http.NewServeMux()
	mux.Handle("/v1/catalog/service/"+service, answer(catalog))
	mux.Handle("/v1/health/service/"+service, answer(health))
	go http.Serve(listener, mux)
	return listener.Addr().String(), nil
}

// startPGFrontEnd starts the second front with the files of deploy/, in which only the addresses are replaced.
func (e *environment) startPGFrontEnd(consul string) (*frontEnd, error) {
	listen, err := freeAddr()
	if err != nil {
		return nil, err
	}
	text, err := os.ReadFile(filepath.Join(e.root, "deploy/postgres.toml"))
	if err != nil {
		return nil, err
	}
	replace := func(key, value string) {
		text = regexp.MustCompile(`(?m)^`+key+` = "[^"]*"`).ReplaceAll(text, []byte(key+` = "`+value+`"`))
	}
	replace("listen", listen)
	replace("address", consul)
	settings, err := os.ReadFile(filepath.Join(e.root, "deploy/postgres-settings.json"))
	if err != nil {
		return nil, err
	}
	config := filepath.Join(e.dir, "postgres.toml")
	if err := errors.Join(os.WriteFile(config, text, 0o644),
		os.WriteFile(filepath.Join(e.dir, "postgres-settings.json"), settings, 0o644)); err != nil {
		return nil, err
	}
	logPath := filepath.Join(e.dir, "front-end.log")
	log, err := os.Create(logPath)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	cmd := exec.Command("bin/flaxrelay", "--postgres", config) // the command that deploy/postgres.toml names
	cmd.Dir = e.root
	cmd.Env = append(os.Environ(), "TMPDIR="+e.dir)
	cmd.Stdout, cmd.Stderr = log, log
	return startProcess(cmd, listen, logPath)
}

// pgClient is a client of the second front. It uses the simple query protocol.
type pgClient struct {
	conn net.Conn
	in   *bufio.Reader
}

func dialPG(addr string) (*pgClient, error) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	c := &pgClient{conn: conn, in: bufio.NewReader(conn)}
	startup := append(pgInt32(196608), pgCString("user")...)
	startup = append(append(startup, pgCString("desk")...), 0)
	conn.SetDeadline(time.Now().Add(10 * time.Second))
	conn.Write(append(pgInt32(uint32(len(startup)+4)), startup...))
	_, err = c.untilReady()
	return c, err
}

// untilReady reads messages up to ReadyForQuery and returns the kind of the result: "served" or an error's code.
func (c *pgClient) untilReady() (string, error) {
	result := "no result"
	for {
		kind, body, err := readPG(c.in)
		if err != nil {
			return "", err
		}
		switch kind {
		case 'C':
			result = "served"
		case 'E':
			result = "error"
			for _, f := range bytes.Split(body, []byte{0}) {
				if len(f) > 1 && (f[0] == 'C' || f[0] == 'M') {
					result += " " + string(f[1:])
				}
			}
		case 'Z':
			return result, nil
		}
	}
}

func (c *pgClient) query(text string) (string, error) {
	c.conn.SetDeadline(time.Now().Add(25 * time.Second))
	if _, err := c.conn.Write(pgMessage('Q', pgCString(text))); err != nil {
		return "", err
	}
	return c.untilReady()
}

func short(s string) string { return strings.Join(strings.Fields(s), " ") }
