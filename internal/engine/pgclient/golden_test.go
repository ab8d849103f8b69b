package pgclient_test

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"flaxrelay/internal/config"
	"flaxrelay/internal/engine/pgclient"
	"flaxrelay/internal/eventloop"
	"flaxrelay/internal/lifecycle"
	"flaxrelay/internal/metrics"
	"flaxrelay/internal/pgproto"
	"flaxrelay/internal/timerqueue"
	"flaxrelay/policy"
)

var update = flag.Bool("update", false, "write the golden files anew")

const (
	patience = 10 * time.Second
	engineID = "e1"
	settings = `{"balancers":1,"zone":"a","zones":["a"],"kinds":["k"],"round-ms":5,
		"classes":[{"name":"lookup","aim-ms":500,"hard-limit-ms":2500,"effect":"read_like","group":"all","importance":1},
			{"name":"write","aim-ms":500,"hard-limit-ms":2500,"effect":"non_idempotent","importance":1}],
		"extra":{"cores-by-kind":[4],"memory-by-kind-mb":[4096],"parallelism":[1,1],"when-short":"queue"},
		"limits":{"cancel":true,"most-tries":1},
		"contract":{"cold-ms":10000,"fall-ms":2000,"start-capacity":0.3,"stop-sending-within-ms":500,"tip-multiple":3}}`
)

// fixedClock stands still: nothing in the golden files depends on time.
type fixedClock struct{}

func (fixedClock) Now() time.Duration { return time.Hour }

// exchange is a scripted PostgreSQL engine with our side of the protocol, and what was
// written so far: `> ` by our side, `< ` by the engine, `= ` what our side made of it.
type exchange struct {
	t      *testing.T
	loop   *eventloop.Loop
	core   *lifecycle.Dispatcher
	links  *pgclient.Client
	stats  *metrics.Counters
	listen net.Listener
	conn   net.Conn
	in     *bufio.Reader
	seen   map[string]bool
	log    bytes.Buffer
	served bytes.Buffer // what came with good ends; of the loop's goroutine
}

func newExchange(t *testing.T) *exchange {
	t.Helper()
	x := &exchange{t: t, stats: metrics.New(), seen: map[string]bool{}}
	var site config.Site
	x.must(json.Unmarshal([]byte(settings), &site))
	var err error
	x.listen, err = net.Listen("tcp", "127.0.0.1:0")
	x.must(err)
	t.Cleanup(func() { x.listen.Close() })
	x.loop, err = eventloop.New(1024)
	x.must(err)
	discard := slog.New(slog.DiscardHandler)
	x.core, err = lifecycle.New(site.Policy, 1, fixedClock{}, timerqueue.New(), x.stats, discard)
	x.must(err)
	x.core.SetCostObserver(x)
	options := pgclient.Options{User: "ringwood", Database: "register", ConnectTimeout: patience}
	x.links = pgclient.New(x.loop, x.core, options, x.stats, discard)
	x.core.SetEngineClient(x.links)
	done := make(chan struct{})
	go func() { x.loop.Run(); close(done) }()
	t.Cleanup(func() { x.loop.Post(x.loop.Stop); <-done })
	x.engine(policy.EngineReady)
	return x
}

func (x *exchange) must(err error) {
	x.t.Helper()
	if err != nil {
		x.t.Fatalf("%v; up to here:\n%s", err, x.log.String())
	}
}

// do runs f where the links live, and waits for it.
func (x *exchange) do(f func()) {
	done := make(chan struct{})
	x.loop.Post(func() { f(); close(done) })
	<-done
}

func (x *exchange) engine(state policy.EngineState) {
	entry := lifecycle.Endpoint{Address: x.listen.Addr().String(), Engine: policy.Engine{ID: engineID, Zone: "a", Kind: "k", State: state}}
	x.do(func() { x.links.UpdateEndpoint(entry) })
}

func statement(query string) *pgproto.Statement {
	// No parameter types; in Bind no formats, no values, no formats of results.
	return &pgproto.Statement{Query: query, Types: make([]byte, 2), Bind: make([]byte, 6)}
}

// send begins an attempt and returns it.
func (x *exchange) send(class string, s *pgproto.Statement) *lifecycle.Attempt {
	request := &lifecycle.Request{ID: "1", Class: class, Statement: s, ObserverData: "noted"}
	attempt := &lifecycle.Attempt{Request: request, Engine: engineID, StartedAt: fixedClock{}.Now(), Timeout: patience}
	x.do(func() { x.links.Start(attempt) })
	return attempt
}

// accept takes the next connection and the packet that it begins with.
func (x *exchange) accept() {
	x.t.Helper()
	x.must(x.listen.(*net.TCPListener).SetDeadline(time.Now().Add(patience)))
	conn, err := x.listen.Accept()
	x.must(err)
	x.t.Cleanup(func() { conn.Close() })
	x.must(conn.SetDeadline(time.Now().Add(patience)))
	x.conn, x.in = conn, bufio.NewReader(conn)
	x.log.WriteString("connection\n")
	x.packet(0)
}

// packet notes one packet, whose length stands after this many bytes.
func (x *exchange) packet(kind int) byte {
	x.t.Helper()
	head, err := x.in.Peek(kind + 4)
	x.must(err)
	whole := make([]byte, kind+int(binary.BigEndian.Uint32(head[kind:])))
	_, err = io.ReadFull(x.in, whole)
	x.must(err)
	fmt.Fprintf(&x.log, "> %q\n", whole)
	return whole[0]
}

// batch notes the messages up to and with Sync.
func (x *exchange) batch() {
	x.t.Helper()
	for x.packet(1) != 'S' {
	}
}

// write sends messages of the engine, one a line of the golden file.
func (x *exchange) write(messages ...[]byte) {
	x.t.Helper()
	for _, m := range messages {
		fmt.Fprintf(&x.log, "< %q\n", m)
	}
	_, err := x.conn.Write(bytes.Join(messages, nil))
	x.must(err)
}

func message(kind byte, body string) []byte {
	b := binary.BigEndian.AppendUint32([]byte{kind}, uint32(4+len(body)))
	return append(b, body...)
}

func failure(severity, code string) []byte {
	return message('E', "S"+severity+"\x00V"+severity+"\x00C"+code+"\x00Mwords of the engine\x00\x00")
}

var (
	authenticated = message('R', "\x00\x00\x00\x00")
	setting       = message('S', "server_version\x0016.3\x00")
	key           = message('K', "\x00\x00\x00\x07\x00\x00\x00\x09")
	ready         = message('Z', "I")
	parsed        = message('1', "")
	bound         = message('2', "")
	columns       = message('T', "\x00\x01part\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x19\xff\xff\xff\xff\xff\xff\x00\x00")
	parameters    = message('t', "\x00\x01\x00\x00\x00\x19")
	row           = message('D', "\x00\x01\x00\x00\x00\x05chain")
	complete      = message('C', "SELECT 1\x00")
)

// started takes a connection and brings its startup to an end.
func (x *exchange) started() {
	x.t.Helper()
	x.accept()
	x.write(authenticated, setting, key, ready)
}

// ended waits until the attempt is over, and notes how it ended and what was read.
func (x *exchange) ended(a *lifecycle.Attempt) {
	x.t.Helper()
	for by := time.Now().Add(patience); ; time.Sleep(time.Millisecond) {
		over := false
		x.do(func() { over = a.Ended() })
		if over {
			break
		}
		if time.Now().After(by) {
			x.t.Fatalf("the attempt never ended; up to here:\n%s", x.log.String())
		}
	}
	var counts bytes.Buffer
	x.do(func() {
		x.stats.Print(&counts)
		_, _ = x.served.WriteTo(&x.log)
	})
	for line := range strings.Lines(counts.String()) {
		if strings.HasPrefix(line, "count attempts.ended.") && !x.seen[line] {
			x.seen[line] = true
			fmt.Fprintf(&x.log, "= %s", strings.TrimPrefix(line, "count "))
		}
	}
}

// Served notes what came with a good end.
func (x *exchange) ObserveServed(_ *lifecycle.Request, rep lifecycle.AttemptReport, _ time.Duration) {
	r := rep.Result.(*pgproto.Result)
	fmt.Fprintf(&x.served, "= parameters %q, fields %q, %d rows %q, tag %q, empty %t\n", r.Params, r.Fields, r.Count, r.Rows, r.Tag, r.Empty)
}

func (x *exchange) ObserveTimeout(*lifecycle.Request, time.Duration) {}
func (x *exchange) Release(*lifecycle.Request)                       {}

// closed takes the engine off the roster, which closes the idle connection, and notes
// all that our side had still written: nothing is left out of the golden file.
func (x *exchange) closed() {
	x.t.Helper()
	x.engine(policy.EngineRemoved)
	x.closedByItself()
}

// closedByItself notes what our side writes up to the end of its connection, and the end.
func (x *exchange) closedByItself() {
	x.t.Helper()
	rest, err := io.ReadAll(x.in)
	if len(rest) > 0 {
		fmt.Fprintf(&x.log, "> %q\n", rest)
	}
	if err != nil && !strings.Contains(err.Error(), "connection reset") {
		x.must(err)
	}
	x.log.WriteString("> end of the connection\n")
}

func (x *exchange) compare(name string) {
	x.t.Helper()
	path := filepath.Join("testdata", "golden", name+".txt")
	if *update {
		x.must(os.MkdirAll(filepath.Dir(path), 0o700))
		x.must(os.WriteFile(path, x.log.Bytes(), 0o600))
	}
	want, err := os.ReadFile(path)
	x.must(err)
	if !bytes.Equal(x.log.Bytes(), want) {
		x.t.Errorf("%s: got\n%s\nwant\n%s", path, x.log.String(), want)
	}
}

const question = "SELECT part FROM stock_4.parts WHERE id = $1"

// scripts are the exchanges by the name of their golden file.
var scripts = map[string]func(*exchange){
	"query": func(x *exchange) {
		a := x.send("lookup", statement(question))
		x.started()
		x.batch()
		x.write(parsed, bound, columns, row, message('N', "\x00"), row, complete, ready)
		x.ended(a)
		a = x.send("lookup", statement(question)) // is prepared by now
		x.batch()
		x.write(bound, columns, complete, ready)
		x.ended(a)
		a = x.send("lookup", &pgproto.Statement{Query: question, Types: []byte{0, 1, 0, 0, 0, 25}, Bind: []byte("\x00\x01\x00\x01\x00\x01\x00\x00\x00\x02k\xff\x00\x01\x00\x01")})
		x.batch()
		x.write(parsed, bound, message('n', ""), message('I', ""), ready)
		x.ended(a)
		a = x.send("lookup", statement(strings.Repeat("x", 5000))) // too long to stay prepared
		x.batch()
		x.write(parsed, bound, message('n', ""), complete, ready)
		x.ended(a)
		x.closed()
	},
	"describe": func(x *exchange) {
		s := statement(question)
		s.Describe = true
		a := x.send("lookup", s)
		x.started()
		x.batch()
		x.write(parsed, parameters, columns, ready)
		x.ended(a)
		x.closed()
	},
	"cancel": func(x *exchange) {
		a := x.send("lookup", statement(question))
		x.started()
		x.batch()
		x.do(func() { x.links.Abandon(a) })
		x.closedByItself()
		x.accept() // the request to cancel, on a connection of its own
		x.closedByItself()
		next := x.send("lookup", statement(question))
		x.started()
		x.batch()
		x.write(parsed, bound, columns, complete, ready)
		x.ended(next)
		x.closed()
	},
	"cancel-without-key": func(x *exchange) {
		a := x.send("lookup", statement(question))
		x.accept()
		x.write(authenticated, ready)
		x.batch()
		x.do(func() { x.links.Abandon(a) })
		x.closedByItself()
		next := x.send("lookup", statement(question)) // its connection is the next there is
		x.started()
		x.batch()
		x.write(parsed, bound, columns, complete, ready)
		x.ended(next)
		x.closed()
	},
	"withdrawn-before-startup": func(x *exchange) {
		a := x.send("lookup", statement(question))
		x.accept()
		x.do(func() {
			if !x.links.Withdraw(a) {
				x.t.Error("what was not written could not be taken back")
			}
		})
		next := x.send("lookup", statement("SELECT 2"))
		x.write(authenticated, key, ready)
		x.batch()
		x.write(parsed, bound, columns, complete, ready)
		x.ended(next)
		x.closed()
	},
	"errors": func(x *exchange) {
		for n, code := range []string{"53300", "57P01", "57P03", "57014", "57P05", "40001", "08006", "58030", "XX000", "F0000", "42P01", "22012", "0A000"} {
			a := x.send("lookup", statement(fmt.Sprintf("SELECT %d", n)))
			if n == 0 {
				x.started()
			}
			x.batch()
			x.write(parsed, bound, failure("ERROR", code), ready)
			x.ended(a)
		}
		a := x.send("write", statement("INSERT 1")) // runs once at most: it may have done some of its work
		x.batch()
		x.write(parsed, bound, failure("ERROR", "53100"), ready)
		x.ended(a)
		x.closed()
	},
	"forgotten-statement": func(x *exchange) {
		for n, code := range []string{"", "26000", ""} { // parsed, reused, parsed anew
			a := x.send("lookup", statement(question))
			if n == 0 {
				x.started()
			}
			x.batch()
			if code == "" {
				x.write(parsed, bound, columns, complete, ready)
			} else {
				x.write(failure("ERROR", code), ready)
			}
			x.ended(a)
		}
		x.closed()
	},
	"fatal": func(x *exchange) {
		for _, code := range []string{"57P01", "57014", "53300"} {
			a := x.send("lookup", statement(question))
			x.started()
			x.batch()
			x.write(failure("FATAL", code))
			x.ended(a)
			x.closedByItself()
		}
	},
	"fatal-at-startup": func(x *exchange) {
		for _, code := range []string{"53300", "57P03", "28000", "3D000"} {
			a := x.send("lookup", statement(question))
			x.accept()
			x.write(failure("FATAL", code))
			x.ended(a)
			x.closedByItself()
		}
	},
	"unreadable": func(x *exchange) {
		for _, answer := range [][]byte{
			message('?', ""), message('G', "\x00\x00\x00"), message('Z', "T"), ready, message('C', "SELECT"), message('E', "x"),
			{'D', 0, 0, 0, 3},
			{'D', 0x7f, 0, 0, 0},
		} {
			a := x.send("lookup", statement(question))
			x.started()
			x.batch()
			x.write(answer)
			x.ended(a)
			x.closedByItself()
		}
	},
	"unreadable-at-startup": func(x *exchange) {
		for _, answer := range [][]byte{message('R', "\x00\x00\x00\x03"), message('T', ""), message('Z', "E")} {
			a := x.send("lookup", statement(question))
			x.accept()
			x.write(answer)
			x.ended(a)
			x.closedByItself()
		}
	},
}

func TestGoldenExchanges(t *testing.T) {
	for name, play := range scripts {
		t.Run(name, func(t *testing.T) {
			x := newExchange(t)
			play(x)
			x.compare(name)
		})
	}
}
