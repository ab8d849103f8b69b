package pgclient_test

import (
	"encoding/binary"
	"fmt"
	"io"
	"strings"
	"testing"

	"flaxrelay/internal/engine/enginetest"
	"flaxrelay/internal/engine/pgclient"
	"flaxrelay/internal/lifecycle"
	"flaxrelay/internal/pgproto"
)

const settings = `{"balancers":1,"zone":"a","zones":["a"],"kinds":["k"],"round-ms":5,
		"classes":[{"name":"lookup","aim-ms":500,"hard-limit-ms":2500,"effect":"read_like","group":"all","importance":1},
			{"name":"write","aim-ms":500,"hard-limit-ms":2500,"effect":"non_idempotent","importance":1}],
		"extra":{"cores-by-kind":[4],"memory-by-kind-mb":[4096],"parallelism":[1,1],"when-short":"queue"},
		"limits":{"cancel":true,"most-tries":1},
		"contract":{"cold-ms":10000,"fall-ms":2000,"start-capacity":0.3,"stop-sending-within-ms":500,"tip-multiple":3}}`

// exchange is a scripted PostgreSQL engine.
type exchange struct {
	*enginetest.Exchange
	t *testing.T
}

func newExchange(t *testing.T) exchange {
	t.Helper()
	options := pgclient.Options{User: "ringwood", Database: "register", ConnectTimeout: enginetest.Timeout}
	return exchange{t: t, Exchange: enginetest.New(t, enginetest.Protocol{
		Settings: settings,
		NewClient: func(env enginetest.Environment) lifecycle.EngineClient {
			return pgclient.New(env.Loop, env.Dispatcher, options, env.Counters, env.Log)
		},
		PrintServed: printServed,
	})}
}

func printServed(out io.Writer, _ *lifecycle.Request, rep lifecycle.AttemptReport) {
	r := rep.Result.(*pgproto.Result)
	_, _ = fmt.Fprintf(out, "= parameters %q, fields %q, %d rows %q, tag %q, empty %t\n", r.ParameterDescription, r.RowDescription, r.RowCount, r.DataRows, r.CommandTag, r.EmptyQuery)
}

func statement(query string) *pgproto.Statement {
	// No parameter types; in Bind no formats, no values, no formats of results.
	return &pgproto.Statement{Query: query, ParameterTypes: make([]byte, 2), Bind: make([]byte, 6)}
}

// start begins an attempt.
func (x exchange) start(class string, s *pgproto.Statement) *lifecycle.Attempt {
	return x.Start(&lifecycle.Request{ID: "1", Class: class, Statement: s}, enginetest.Timeout, nil)
}

// acceptPacket takes the next connection and the packet that it begins with.
func (x exchange) acceptPacket() {
	x.t.Helper()
	x.Accept()
	x.Printf("connection\n")
	x.readPacket(0)
}

// readPacket takes one packet, whose length stands after this many bytes, and returns
// its first byte.
func (x exchange) readPacket(lengthOffset int) byte {
	x.t.Helper()
	head, err := x.Reader.Peek(lengthOffset + 4)
	x.Check(err)
	packet := make([]byte, lengthOffset+int(binary.BigEndian.Uint32(head[lengthOffset:])))
	_, err = io.ReadFull(x.Reader, packet)
	x.Check(err)
	x.Printf("> %q\n", packet)
	return packet[0]
}

// readQuery takes the messages up to and with Sync.
func (x exchange) readQuery() {
	x.t.Helper()
	for kind := byte(0); kind != 'S'; {
		kind = x.readPacket(1)
	}
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

// acceptStartup takes a connection and brings its startup to an end.
func (x exchange) acceptStartup() {
	x.t.Helper()
	x.acceptPacket()
	x.Write(authenticated, setting, key, ready)
}

const question = "SELECT part FROM stock_4.parts WHERE id = $1"

// scripts are the exchanges by the name of their golden file.
var scripts = map[string]func(exchange){
	"query": func(x exchange) {
		a := x.start("lookup", statement(question))
		x.acceptStartup()
		x.readQuery()
		x.Write(parsed, bound, columns, row, message('N', "\x00"), row, complete, ready)
		x.AwaitEnd(a)
		a = x.start("lookup", statement(question)) // is prepared by now
		x.readQuery()
		x.Write(bound, columns, complete, ready)
		x.AwaitEnd(a)
		a = x.start("lookup", &pgproto.Statement{Query: question, ParameterTypes: []byte{0, 1, 0, 0, 0, 25}, Bind: []byte("\x00\x01\x00\x01\x00\x01\x00\x00\x00\x02k\xff\x00\x01\x00\x01")})
		x.readQuery()
		x.Write(parsed, bound, message('n', ""), message('I', ""), ready)
		x.AwaitEnd(a)
		a = x.start("lookup", statement(strings.Repeat("x", 5000))) // too long to stay prepared
		x.readQuery()
		x.Write(parsed, bound, message('n', ""), complete, ready)
		x.AwaitEnd(a)
		x.RemoveEngine()
	},
	"describe": func(x exchange) {
		s := statement(question)
		s.DescribeOnly = true
		a := x.start("lookup", s)
		x.acceptStartup()
		x.readQuery()
		x.Write(parsed, parameters, columns, ready)
		x.AwaitEnd(a)
		x.RemoveEngine()
	},
	"cancel": func(x exchange) {
		a := x.start("lookup", statement(question))
		x.acceptStartup()
		x.readQuery()
		x.Do(func() { x.Client.Abandon(a) })
		x.AwaitClose()
		x.acceptPacket() // the request to cancel, on a connection of its own
		x.AwaitClose()
		next := x.start("lookup", statement(question))
		x.acceptStartup()
		x.readQuery()
		x.Write(parsed, bound, columns, complete, ready)
		x.AwaitEnd(next)
		x.RemoveEngine()
	},
	"cancel-without-key": func(x exchange) {
		a := x.start("lookup", statement(question))
		x.acceptPacket()
		x.Write(authenticated, ready)
		x.readQuery()
		x.Do(func() { x.Client.Abandon(a) })
		x.AwaitClose()
		next := x.start("lookup", statement(question)) // its connection is the next there is
		x.acceptStartup()
		x.readQuery()
		x.Write(parsed, bound, columns, complete, ready)
		x.AwaitEnd(next)
		x.RemoveEngine()
	},
	"withdrawn-before-startup": func(x exchange) {
		a := x.start("lookup", statement(question))
		x.acceptPacket()
		x.Do(func() {
			if !x.Client.Withdraw(a) {
				x.t.Error("a query that was not written could not be withdrawn")
			}
		})
		next := x.start("lookup", statement("SELECT 2"))
		x.Write(authenticated, key, ready)
		x.readQuery()
		x.Write(parsed, bound, columns, complete, ready)
		x.AwaitEnd(next)
		x.RemoveEngine()
	},
	"errors": func(x exchange) {
		for n, code := range []string{"53300", "57P01", "57P03", "57014", "57P05", "40001", "08006", "58030", "XX000", "F0000", "42P01", "22012", "0A000"} {
			a := x.start("lookup", statement(fmt.Sprintf("SELECT %d", n)))
			if n == 0 {
				x.acceptStartup()
			}
			x.readQuery()
			x.Write(parsed, bound, failure("ERROR", code), ready)
			x.AwaitEnd(a)
		}
		a := x.start("write", statement("INSERT 1")) // runs once at most: it may have done some of its work
		x.readQuery()
		x.Write(parsed, bound, failure("ERROR", "53100"), ready)
		x.AwaitEnd(a)
		x.RemoveEngine()
	},
	"forgotten-statement": func(x exchange) {
		for n, code := range []string{"", "26000", ""} { // parsed, reused, parsed anew
			a := x.start("lookup", statement(question))
			if n == 0 {
				x.acceptStartup()
			}
			x.readQuery()
			if code == "" {
				x.Write(parsed, bound, columns, complete, ready)
			} else {
				x.Write(failure("ERROR", code), ready)
			}
			x.AwaitEnd(a)
		}
		x.RemoveEngine()
	},
	"fatal": func(x exchange) {
		for _, code := range []string{"57P01", "57014", "53300"} {
			a := x.start("lookup", statement(question))
			x.acceptStartup()
			x.readQuery()
			x.Write(failure("FATAL", code))
			x.AwaitEnd(a)
			x.AwaitClose()
		}
	},
	"fatal-at-startup": func(x exchange) {
		for _, code := range []string{"53300", "57P03", "28000", "3D000"} {
			a := x.start("lookup", statement(question))
			x.acceptPacket()
			x.Write(failure("FATAL", code))
			x.AwaitEnd(a)
			x.AwaitClose()
		}
	},
	"unreadable": func(x exchange) {
		for _, answer := range [][]byte{
			message('?', ""), message('G', "\x00\x00\x00"), message('Z', "T"), ready, message('C', "SELECT"), message('E', "x"),
			{'D', 0, 0, 0, 3},
			{'D', 0x7f, 0, 0, 0},
		} {
			a := x.start("lookup", statement(question))
			x.acceptStartup()
			x.readQuery()
			x.Write(answer)
			x.AwaitEnd(a)
			x.AwaitClose()
		}
	},
	"unreadable-at-startup": func(x exchange) {
		for _, answer := range [][]byte{message('R', "\x00\x00\x00\x03"), message('T', ""), message('Z', "E")} {
			a := x.start("lookup", statement(question))
			x.acceptPacket()
			x.Write(answer)
			x.AwaitEnd(a)
			x.AwaitClose()
		}
	},
}

// TestGoldenExchanges checks the bytes of both sides, and what the client makes of them.
func TestGoldenExchanges(t *testing.T) {
	for name, play := range scripts {
		t.Run(name, func(t *testing.T) {
			x := newExchange(t)
			play(x)
			x.CompareGolden(name)
		})
	}
}
