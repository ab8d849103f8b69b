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

func newExchange(t *testing.T, cancels bool) exchange {
	t.Helper()
	return exchange{t: t, Exchange: enginetest.New(t, enginetest.Protocol{
		Settings: fmt.Sprintf(settings, cancels),
		NewClient: func(env enginetest.Environment) lifecycle.EngineClient {
			return lineclient.New(env.Loop, env.Dispatcher, env.Site, env.Counters, env.Log)
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
	cancels bool
	play    func(exchange)
}{
	"want": {false, func(x exchange) {
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
	"cancel-permitted": {true, func(x exchange) {
		a := x.start(id, question, nil)
		x.readCommand()
		x.Do(func() { x.Client.Abandon(a) })
		x.readCommand()
		x.RemoveEngine()
	}},
	"cancel-not-permitted": {false, func(x exchange) {
		a := x.start(id, question, nil)
		x.readCommand()
		x.Do(func() { x.Client.Abandon(a) })
		x.RemoveEngine()
	}},
	"cancel-between-pages": {false, func(x exchange) { // pages that are not fetched yet are released
		a := x.start(id, question, nil)
		x.readCommand()
		x.write(id + " DONE batches=2 6\r\na\tb\tc\n\r\n")
		x.readCommand()
		x.Do(func() { x.Client.Abandon(a) })
		x.readCommand()
		x.RemoveEngine()
	}},
	"hurry": {false, func(x exchange) {
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
	"pages": {false, func(x exchange) {
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
	"answers": {false, func(x exchange) {
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
	"words-that-end-nothing": {false, func(x exchange) {
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
	"gauges": {false, func(x exchange) {
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

// TestGoldenExchanges checks the bytes of both sides, and what the client makes of them.
func TestGoldenExchanges(t *testing.T) {
	for name, script := range scripts {
		t.Run(name, func(t *testing.T) {
			x := newExchange(t, script.cancels)
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
			x := newExchange(t, true)
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
