package lineclient_test

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"flaxrelay/internal/engine/enginetest"
	"flaxrelay/internal/engine/lineclient"
	"flaxrelay/internal/lifecycle"
)

const (
	attemptTimeout = 1500 * time.Millisecond
	settings       = `{"balancers":1,"zone":"a","zones":["a"],"kinds":["k"],"round-ms":5,
		"classes":[{"name":"report","aim-ms":500,"hard-limit-ms":2500,"effect":"read_like","group":"all","importance":1}],
		"extra":{"cores-by-kind":[4],"memory-by-kind-mb":[4096],"parallelism":[1],"when-short":"queue"},
		"limits":{"cancel":%t,"max-streams":32,"most-tries":1},
		"contract":{"cold-ms":10000,"fall-ms":2000,"start-capacity":0.3,"stop-sending-within-ms":500,"tip-multiple":3}}`
)

// exchange is a scripted engine of the line protocol.
type exchange struct {
	*enginetest.Exchange
	t *testing.T
}

// options are what differs between the clients of the tests.
type options struct {
	cancels        bool // running requests may be cancelled
	maxConnections int  // 0: unbounded
}

func newExchange(t *testing.T, options options) exchange {
	t.Helper()
	return exchange{t: t, Exchange: enginetest.New(t, enginetest.Protocol{
		Settings: fmt.Sprintf(settings, options.cancels),
		NewClient: func(env enginetest.Environment) lifecycle.EngineClient {
			client := lineclient.New(env.Loop, env.Dispatcher, env.Site, env.Counters, env.Log)
			client.MaxConnections = options.maxConnections
			return client
		},
		PrintServed: printServed,
	})}
}

func printServed(out io.Writer, r *lifecycle.Request, rep lifecycle.AttemptReport) {
	load := rep.Load
	_, _ = fmt.Fprintf(out, "= served %s: work %v, memory %v MB, load told %t: busy %v held %v waiting %v memory %v disks %v\n",
		r.ID, rep.Work, rep.MemoryMB, load.Reported, load.CPUShare, load.InFlight, load.Queued, load.MemoryShare, load.DiskShare)
	for n, page := range rep.Result.(lineclient.Rows) {
		_, _ = fmt.Fprintf(out, "= page %d %q\n", n, page)
	}
}

// start begins an attempt, and accepts the connection that it dials if there is none.
func (x exchange) start(id, statement string, change func(*lifecycle.Attempt)) *lifecycle.Attempt {
	x.t.Helper()
	request := &lifecycle.Request{ID: id, Class: "report", Statement: statement}
	attempt := x.Start(request, attemptTimeout, func(a *lifecycle.Attempt) {
		a.Priority = 1
		if change != nil {
			change(a)
		}
	})
	if !x.Connected() {
		x.Accept()
	}
	return attempt
}

// readCommand takes one command of the client, with its statement if it has one.
func (x exchange) readCommand() {
	x.t.Helper()
	line, err := x.Reader.ReadString('\n')
	x.Check(err)
	x.Printf("> %q\n", line)
	if !strings.HasPrefix(line, "want ") {
		return
	}
	var length int
	_, err = fmt.Sscan(line[strings.LastIndexByte(line, ' '):], &length)
	x.Check(err)
	statement := make([]byte, length+len("\r\n"))
	_, err = io.ReadFull(x.Reader, statement)
	x.Check(err)
	x.Printf("> %q\n", statement)
}

// write sends one piece of the engine's side.
func (x exchange) write(text string) {
	x.t.Helper()
	x.Write([]byte(text))
}

const (
	id       = "9b1f03aa5c7e2d41"
	question = "SELECT day FROM sales_17.orders WHERE note = 'é\r\n'"
)

// scripts are the exchanges by the name of their golden file.
var scripts = map[string]struct {
	options options
	play    func(exchange)
}{
	"want": {options{}, func(x exchange) {
		plain := x.start(id, question, nil)
		x.readCommand()
		full := x.start("00000000000000ff", "", func(a *lifecycle.Attempt) {
			a.Request.IdempotencyKey, a.MemoryMB, a.Priority, a.Timeout = "key-1", 96.75, 3, 250*time.Millisecond
		})
		x.readCommand()
		expired := x.start("0000000000000100", "SELECT 1", func(a *lifecycle.Attempt) { a.Priority, a.Timeout = 0, 0 })
		x.readCommand()
		for _, a := range []*lifecycle.Attempt{expired, full, plain} { // in any order
			x.write(a.Request.ID + " DONE batches=1 0\r\n\r\n")
			x.AwaitEnd(a)
		}
		x.RemoveEngine()
	}},
	"cancel-permitted": {options{cancels: true}, func(x exchange) {
		a := x.start(id, question, nil)
		x.readCommand()
		x.Abandon(a)
		x.readCommand()
		x.RemoveEngine()
	}},
	"cancel-not-permitted": {options{}, func(x exchange) {
		a := x.start(id, question, nil)
		x.readCommand()
		x.Abandon(a)
		x.RemoveEngine()
	}},
	"cancel-between-pages": {options{}, func(x exchange) { // pages that are not fetched yet are released
		a := x.start(id, question, nil)
		x.readCommand()
		x.write(id + " DONE batches=2 6\r\na\tb\tc\n\r\n")
		x.readCommand()
		x.Abandon(a)
		x.readCommand()
		x.RemoveEngine()
	}},
	"hurry": {options{}, func(x exchange) {
		a := x.start(id, question, nil)
		x.readCommand()
		for priority := range 4 {
			x.Do(func() { x.Client.SetPriority(a, priority) })
			x.readCommand()
		}
		x.write(id + " DONE batches=0 0\r\n\r\n")
		x.AwaitEnd(a)
		x.RemoveEngine()
	}},
	"pages": {options{}, func(x exchange) {
		a := x.start(id, question, nil)
		x.readCommand()
		x.write(id + " DONE batches=4,cpu=12.5,used=3 6\r\na\tb\tc\n\r\n")
		for range 3 {
			x.readCommand()
		}
		x.write(id + " MORE batch=2 6\r\ng\th\ti\n\r\n")
		x.write(id + " MORE batch=2 6\r\ng\th\ti\n\r\n") // a duplicate
		x.write(id + " MORE batch=1 12\r\nd\t\té\nj\tk\tl\n\r\n")
		x.write(id + " MORE batch=3 0\r\n\r\n")
		x.readCommand()
		x.AwaitEnd(a)
		x.RemoveEngine()
	}},
	"answers": {options{}, func(x exchange) {
		for n, word := range []string{"WAIT", "BROKE", "PAST"} {
			a := x.start(fmt.Sprintf("%016x", n), "SELECT 1", nil)
			x.readCommand()
			x.write(a.Request.ID + " " + word + " - 0\r\n\r\n")
			x.AwaitEnd(a)
		}
		for n, response := range []string{
			"DONE batches=0 0\r\n\r\n", "DONE batches=1,cpu=0.25,used=1.5 6\r\na\tb\tc\n\r\n",
			"DONE used=x,cpu=NaN,batches=1 0\r\n\r\n", "DONE batches=1,cpu=-4 0\r\n\r\n",
		} {
			a := x.start(fmt.Sprintf("%016x", 16+n), "SELECT 1", nil)
			x.readCommand()
			x.write(a.Request.ID + " " + response)
			x.AwaitEnd(a)
		}
		a := x.start(id, "SELECT 1", nil)
		x.readCommand()
		x.write(id + " DONE batches=2 6\r\na\tb\tc\n\r\n")
		x.readCommand()
		x.write(id + " BROKE - 0\r\n\r\n") // a page that the engine no longer knows
		x.AwaitEnd(a)
		x.RemoveEngine()
	}},
	"words-that-end-nothing": {options{}, func(x exchange) {
		a := x.start(id, "SELECT 1", nil)
		x.readCommand()
		for _, fields := range []string{"res=p,num=0.5", "res=s,num=64", "res=w,num=1", "res=w,num=2", "res=?,num=1", "num=1", "-"} {
			x.write(id + " TELL " + fields + " 0\r\n\r\n")
		}
		x.write("t1 FIT - 0\r\n\r\n")
		x.write(id + " FIT - 0\r\n\r\n")
		x.write("ffffffffffffffff DONE batches=1 0\r\n\r\n") // to no request
		x.write(id + " DONE batches=1 0\r\n\r\n")
		x.AwaitEnd(a)
		var progress int64
		x.Do(func() { progress = x.Counters.GetByName("attempts.progress") })
		x.Printf("= %d notes\n", progress)
		x.RemoveEngine()
	}},
	"gauges": {options{}, func(x exchange) {
		for n, gauges := range []string{
			"inflight:7;util:0.61", "active:2;cpu:0.5;waiting:3;x0:0.25;x1:1.5", "queue:4;rps:100;avg_ms:3;err_rps:0",
			"rps:100", "", "util:NaN;inflight:x;x0:1e-3",
		} {
			a := x.start(fmt.Sprintf("%016x", n), "SELECT 1", nil)
			x.readCommand()
			x.write(a.Request.ID + " DONE batches=1,gauges=" + gauges + " 0\r\n\r\n")
			x.AwaitEnd(a)
		}
		x.RemoveEngine()
	}},
}

// respond sends the complete result of one empty page.
func (x exchange) respond(id string) {
	x.t.Helper()
	x.write(id + " DONE batches=1 0\r\n\r\n")
}

// newAttempt returns an attempt that has not begun.
func (x exchange) newAttempt(id string) *lifecycle.Attempt {
	attempt := x.NewAttempt(&lifecycle.Request{ID: id, Class: "report", Statement: "SELECT 1"}, attemptTimeout)
	attempt.Priority = 1
	return attempt
}

const (
	otherID = "0000000000000001"
	// arrival is more than what one host needs to bring what the engine did to the client's socket.
	arrival = 50 * time.Millisecond
)

// connectionScripts are the exchanges that show how connections begin, retire and end, by the
// name of their golden file.
var connectionScripts = map[string]struct {
	options options
	play    func(exchange)
}{
	"withdrawn-while-dialing": {options{cancels: true}, func(x exchange) {
		withdrawn := x.newAttempt(id)
		next := x.newAttempt(otherID)
		x.Do(func() {
			x.Client.Start(withdrawn)
			if !x.Client.Withdraw(withdrawn) {
				x.t.Error("an attempt that was not written could not be withdrawn")
			}
			x.Client.Start(next)
		})
		x.Accept()
		x.readCommand()
		x.respond(otherID)
		x.AwaitEnd(next)
		again := x.start(id, "SELECT 1", nil) // nothing was written for it: the id may be used
		x.readCommand()
		x.Do(func() {
			if x.Client.Withdraw(again) {
				x.t.Error("an attempt that was written could be withdrawn")
			}
		})
		x.respond(id)
		x.AwaitEnd(again)
		x.RemoveEngine()
	}},
	"removed-while-dialing": {options{}, func(x exchange) {
		attempt := x.newAttempt(id)
		x.Do(func() {
			x.Client.Start(attempt)
			x.RemoveEngineEntry()
		})
		x.Accept()
		x.AwaitEnd(attempt)
		x.AwaitClose()
		x.PrintConnections()
	}},
	"retired-while-dialing": {options{}, func(x exchange) {
		attempt := x.newAttempt(id)
		x.Do(func() {
			x.Client.Start(attempt)
			x.RestartEngine()
		})
		x.Accept()
		x.readCommand()
		x.respond(id)
		x.AwaitEnd(attempt)
		x.AwaitClose()
		next := x.start(otherID, "SELECT 1", nil)
		x.readCommand()
		x.respond(otherID)
		x.AwaitEnd(next)
		x.RemoveEngine()
		x.PrintConnections()
	}},
	"retired-while-dialing-unused": {options{}, func(x exchange) {
		attempt := x.newAttempt(id)
		x.Do(func() {
			x.Client.Start(attempt)
			x.Client.Abandon(attempt)
			x.RestartEngine()
		})
		x.Accept()
		x.AwaitClose()
		x.PrintConnections()
	}},
	"retired-while-busy": {options{cancels: true}, func(x exchange) {
		served := x.start(id, "SELECT 1", nil)
		x.readCommand()
		abandoned := x.start(otherID, "SELECT 2", nil)
		x.readCommand()
		x.Do(x.RestartEngine)
		x.respond(id)
		x.AwaitEnd(served)
		x.Abandon(abandoned) // the last attempt on the connection, which closes behind the cancel
		x.AwaitClose()
		x.PrintConnections()
	}},
	"closed-by-engine": {options{}, func(x exchange) {
		served := x.start(id, "SELECT 1", nil)
		x.readCommand()
		lost := x.start(otherID, "SELECT 2", nil)
		x.readCommand()
		x.respond(id) // what was read before the end counts first
		x.write(otherID + " DONE batches=2 6\r\na\tb\tc\n\r\n")
		x.readCommand()
		x.write(otherID + " MORE ba")
		x.Disconnect()
		x.AwaitEnd(lost)
		x.AwaitEnd(served)
		x.PrintConnections()
	}},
	"reset-before-write": {options{}, func(x exchange) {
		first := x.start(id, "SELECT 1", nil)
		x.readCommand()
		x.respond(id)
		x.AwaitEnd(first)
		unwritten := x.newAttempt(otherID)
		x.BlockLoop(func() {
			x.Reset()
			time.Sleep(arrival)
		}, func() { // the client has not been notified of the end yet when it writes
			x.Client.Start(unwritten)
		})
		x.AwaitEnd(unwritten)
		next := x.start(otherID, "SELECT 1", nil)
		x.readCommand()
		x.respond(otherID)
		x.AwaitEnd(next)
		x.RemoveEngine()
	}},
	"abandoned-after-protocol-error": {options{cancels: true}, func(x exchange) {
		attempt := x.start(id, "SELECT 1", nil)
		x.readCommand()
		x.BlockLoop(func() {
			x.write(id + " ODD - 0\r\n\r\n")
			time.Sleep(arrival)
		}, func() { // the end of the connection is handled after what is posted here
			x.Post(func() { x.Client.Abandon(attempt) })
		})
		x.AwaitClose()
		x.PrintConnections()
	}},
	"abandoned-id": {options{}, func(x exchange) {
		abandoned := x.start(id, "SELECT 1", nil)
		x.readCommand()
		x.Abandon(abandoned)
		other := x.start(otherID, "SELECT 2", nil) // on the same connection
		x.readCommand()
		x.respond(id) // late
		x.respond(otherID)
		x.AwaitEnd(other)
		again := x.newAttempt(id)
		x.Do(func() { x.Client.Start(again) })
		x.Accept()
		x.readCommand()
		x.respond(id)
		x.AwaitEnd(again)
		x.RemoveEngine()
		x.PrintConnections()
	}},
	"evicted": {options{maxConnections: 1}, func(x exchange) {
		abandoned := x.start(id, "SELECT 1", nil)
		x.readCommand()
		x.Abandon(abandoned)
		busy := x.start(otherID, "SELECT 2", nil)
		x.readCommand()
		unconnected := x.start(id, "SELECT 1", nil) // the id can't be used on a connection that is busy
		x.AwaitEnd(unconnected)
		x.respond(otherID)
		x.AwaitEnd(busy)
		again := x.newAttempt(id)
		x.Do(func() { x.Client.Start(again) })
		x.AwaitClose() // the idle connection made way
		x.Accept()
		x.readCommand()
		x.respond(id)
		x.AwaitEnd(again)
		x.RemoveEngine()
		x.PrintConnections()
	}},
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

// TestGoldenExchanges checks the bytes of both sides, and what the client makes of them.
func TestGoldenExchanges(t *testing.T) {
	for name, script := range scripts {
		t.Run(name, func(t *testing.T) {
			x := newExchange(t, script.options)
			script.play(x)
			x.CompareGolden(name)
		})
	}
}

// TestGoldenMalformedResponses checks that after a malformed response the connection is
// closed with all attempts on it, and that the next request goes out on a new one.
func TestGoldenMalformedResponses(t *testing.T) {
	for name, response := range map[string]string{
		"unreadable-word":        id + " ODD - 0\r\n\r\n",
		"unreadable-three-words": id + " DONE batches=1\r\n",
		"unreadable-length":      id + " DONE batches=1 x\r\n",
		"unreadable-long":        id + " DONE batches=1 16385\r\n",
		"unreadable-line-end":    id + " DONE batches=1 0\n",
		"unreadable-body-end":    id + " DONE batches=1 6\r\na\tb\tc\nxx",
		"unreadable-two-columns": id + " DONE batches=1 4\r\na\tb\n\r\n",
		"unreadable-half-row":    id + " DONE batches=1 5\r\na\tb\tc\r\n",
		"unreadable-text":        id + " DONE batches=1 6\r\na\tb\t\xff\n\r\n",
		"unreadable-no-pages":    id + " DONE - 0\r\n\r\n",
		"unreadable-many-pages":  id + " DONE batches=65 0\r\n\r\n",
		"unreadable-page":        id + " MORE batch=1 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			x := newExchange(t, options{cancels: true})
			a := x.start(id, "SELECT 1", nil)
			x.readCommand()
			other := x.start("0000000000000001", "SELECT 2", nil)
			x.readCommand()
			x.write(response)
			x.AwaitEnd(a)
			x.AwaitEnd(other)
			x.AwaitClose()
			next := x.start("0000000000000002", "SELECT 3", nil)
			x.readCommand()
			x.write("0000000000000002 DONE batches=1 0\r\n\r\n")
			x.AwaitEnd(next)
			x.RemoveEngine()
			x.CompareGolden(name)
		})
	}
}
