package pgclient_test

import (
	"encoding/binary"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

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

// defaultOptions are the client's unless the test says otherwise.
var defaultOptions = pgclient.Options{User: "ringwood", Database: "register", ConnectTimeout: enginetest.Timeout}

func newExchange(t *testing.T, options pgclient.Options) exchange {
	t.Helper()
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
		x.Abandon(a)
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
		x.Abandon(a)
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
		x.Withdraw(a)
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
			x := newExchange(t, defaultOptions)
			play(x)
			x.CompareGolden(name)
		})
	}
}

// shortTimeout and smallBudget are exceeded on purpose.
const (
	shortTimeout = 50 * time.Millisecond
	smallBudget  = 40 // bytes; two rows of these tests are more
)

// respond sends the complete response to a query that was parsed.
func (x exchange) respond() {
	x.t.Helper()
	x.Write(parsed, bound, columns, complete, ready)
}

// connectionScripts are the exchanges that show how connections begin, retire and end, by the
// name of their golden file.
var connectionScripts = map[string]struct {
	options pgclient.Options
	play    func(exchange)
}{
	"retired-during-startup": {defaultOptions, func(x exchange) {
		a := x.start("lookup", statement(question))
		x.acceptPacket()
		x.Do(x.RestartEngine)
		x.Write(authenticated, key, ready)
		x.readQuery()
		x.respond()
		x.AwaitEnd(a)
		x.AwaitClose()
		x.PrintConnections()
	}},
	"retired-during-startup-unused": {defaultOptions, func(x exchange) {
		a := x.start("lookup", statement(question))
		x.acceptPacket()
		x.Withdraw(a)
		x.Do(x.RestartEngine) // the connection has no attempt: it is closed at once
		x.AwaitClose()
		x.PrintConnections()
	}},
	"retired-while-dialing-unused": {defaultOptions, func(x exchange) {
		a := x.newAttempt()
		x.Do(func() {
			x.Client.Start(a)
			x.Client.Abandon(a) // not written: nothing is cancelled
			x.RestartEngine()
		})
		x.acceptPacket()
		x.Write(authenticated, key, ready)
		x.AwaitClose()
		x.PrintConnections()
	}},
	"statement-not-forgotten": {defaultOptions, func(x exchange) {
		a := x.start("lookup", statement(question))
		x.acceptStartup()
		x.readQuery()
		x.Write(failure("ERROR", "26000"), ready) // this query has parsed the statement itself
		x.AwaitEnd(a)
		a = x.start("lookup", statement(question))
		x.readQuery()
		x.respond()
		x.AwaitEnd(a)
		a = x.start("lookup", statement(question))
		x.readQuery()
		x.Write(bound, failure("ERROR", "0A000"), ready) // the statement may have run
		x.AwaitEnd(a)
		a = x.start("lookup", statement(question))
		x.readQuery()
		x.Write(bound, columns, complete, ready)
		x.AwaitEnd(a)
		x.RemoveEngine()
	}},
	"retired-while-busy": {defaultOptions, func(x exchange) {
		a := x.start("lookup", statement(question))
		x.acceptStartup()
		x.readQuery()
		x.Do(x.RestartEngine)
		x.respond()
		x.AwaitEnd(a)
		x.AwaitClose()
		x.PrintConnections()
	}},
	"abandoned-before-startup": {defaultOptions, func(x exchange) {
		a := x.start("lookup", statement(question))
		x.acceptPacket()
		x.Abandon(a) // not written: nothing is cancelled, and the connection is used again
		next := x.start("lookup", statement("SELECT 2"))
		x.Write(authenticated, key, ready)
		x.readQuery()
		x.respond()
		x.AwaitEnd(next)
		x.RemoveEngine()
		x.PrintConnections()
	}},
	"removed-before-write": {defaultOptions, func(x exchange) {
		a := x.start("lookup", statement(question))
		x.acceptPacket()
		x.Do(x.RemoveEngineEntry)
		x.Write(authenticated, key, ready)
		x.AwaitEnd(a)
		x.AwaitClose()
		x.PrintConnections()
	}},
	"closed-during-startup": {defaultOptions, func(x exchange) {
		a := x.start("lookup", statement(question))
		x.acceptPacket()
		x.Disconnect()
		x.AwaitEnd(a)
		x.PrintConnections()
	}},
	"closed-in-response": {defaultOptions, func(x exchange) {
		a := x.start("lookup", statement(question))
		x.acceptStartup()
		x.readQuery()
		x.Write(parsed, bound, columns, failure("ERROR", "42P01")) // the end of the response is missing
		x.Disconnect()
		x.AwaitEnd(a)
		a = x.start("lookup", statement(question))
		x.acceptStartup()
		x.readQuery()
		x.respond() // what was read before the end counts first
		x.Disconnect()
		x.AwaitEnd(a)
		x.PrintConnections()
	}},
	"startup-timeout": {
		pgclient.Options{User: "ringwood", Database: "register", ConnectTimeout: shortTimeout},
		func(x exchange) {
			a := x.start("lookup", statement(question))
			x.acceptPacket()
			x.AwaitEnd(a)
			x.AwaitClose()
			x.PrintConnections()
		},
	},
	"buffer-budget": {
		pgclient.Options{
			User: "ringwood", Database: "register", ConnectTimeout: enginetest.Timeout, MaxBufferedBytes: smallBudget,
		},
		func(x exchange) {
			for range 2 { // the second has the whole budget again
				a := x.start("lookup", statement(question))
				x.acceptStartup()
				x.readQuery()
				x.Write(parsed, bound, columns, row, row, row, complete, ready)
				x.AwaitEnd(a)
				x.AwaitClose()
				x.acceptPacket() // the request to cancel
				x.AwaitClose()
			}
			a := x.start("lookup", statement(question))
			x.acceptStartup()
			x.readQuery()
			x.Write(parsed, bound, columns, row, row, complete, ready)
			x.AwaitEnd(a)
			x.RemoveEngine()
			x.PrintConnections()
		},
	},
	"fatal-while-idle": {defaultOptions, func(x exchange) {
		for _, code := range []string{"57P01", "57P05"} {
			a := x.start("lookup", statement(question))
			x.acceptStartup()
			x.readQuery()
			x.respond()
			x.AwaitEnd(a)
			x.Write(failure("FATAL", code))
			x.AwaitClose()
			x.PrintConnections()
		}
		for _, code := range []string{"57P01", "57P05"} { // on a connection on which nothing was written
			a := x.start("lookup", statement(question))
			x.acceptPacket()
			x.Withdraw(a)
			x.Write(authenticated, ready, failure("FATAL", code))
			x.AwaitClose()
			x.PrintConnections()
		}
	}},
}

// newAttempt returns an attempt that has not begun.
func (x exchange) newAttempt() *lifecycle.Attempt {
	request := &lifecycle.Request{ID: "1", Class: "lookup", Statement: statement(question)}
	return x.NewAttempt(request, enginetest.Timeout)
}

// TestGoldenConnections checks what happens to the attempts of connections that retire or end.
func TestGoldenConnections(t *testing.T) {
	for name, script := range connectionScripts {
		t.Run(name, func(t *testing.T) {
			x := newExchange(t, script.options)
			script.play(x)
			x.CompareGolden(name)
		})
	}
}
