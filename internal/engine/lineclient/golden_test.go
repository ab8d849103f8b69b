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
	"flaxrelay/internal/metrics"
)

// attemptTimeout is the timeout of an attempt, which the golden files contain.
const attemptTimeout = 1500 * time.Millisecond

// script is a golden test of the line protocol.
type script struct {
	cancels        bool // running requests may be cancelled
	maxConnections int  // 0: unlimited
	play           func(exchange)
}

// exchange is the exchange with a scripted engine of the line protocol.
type exchange struct{ *enginetest.Exchange }

// Setup implements enginetest.Script.
func (s script) Setup() enginetest.Setup {
	return enginetest.Setup{
		Settings: enginetest.Settings(
			fmt.Sprintf(`"cancel":%t,"max-streams":32`, s.cancels), enginetest.Class("report", "read_like"),
		),
		NewClient: func(env enginetest.Environment) lifecycle.EngineClient {
			client := lineclient.New(env.Loop, env.Dispatcher, env.Site, env.Counters, env.Log)
			client.MaxConnections = s.maxConnections
			return client
		},
		PrintServed: printServed,
	}
}

// Play implements enginetest.Script.
func (s script) Play(x *enginetest.Exchange) { s.play(exchange{x}) }

func printServed(out io.Writer, request *lifecycle.Request, report lifecycle.AttemptReport) {
	load := report.Load
	_, _ = fmt.Fprintf(out,
		"= served %s: work %v, memory %v MB, load told %t: busy %v held %v waiting %v memory %v disks %v\n",
		request.ID, report.Work, report.MemoryMB,
		load.Reported, load.CPUShare, load.InFlight, load.Queued, load.MemoryShare, load.DiskShare)
	rows, _ := report.Result.(lineclient.Rows)
	for number, page := range rows {
		_, _ = fmt.Fprintf(out, "= page %d %q\n", number, page)
	}
}

// newAttempt returns an attempt that has not begun.
func (x exchange) newAttempt(id, statement string) *lifecycle.Attempt {
	request := &lifecycle.Request{ID: id, Class: "report", Statement: statement}
	attempt := x.NewAttempt(request, attemptTimeout)
	attempt.Priority = 1
	return attempt
}

// begin begins an attempt. If no connection is open, it accepts the connection that the client
// dials.
func (x exchange) begin(attempt *lifecycle.Attempt) {
	x.T.Helper()
	x.Start(attempt)
	if !x.Connected() {
		x.Accept()
	}
}

// start begins an attempt as begin does, and reads its request.
func (x exchange) start(id, statement string) *lifecycle.Attempt {
	x.T.Helper()
	attempt := x.newAttempt(id, statement)
	x.begin(attempt)
	x.readCommand()
	return attempt
}

// startOnNewConnection begins an attempt on a connection that the client dials for it, and
// reads its request.
func (x exchange) startOnNewConnection(id, statement string) *lifecycle.Attempt {
	x.T.Helper()
	attempt := x.newAttempt(id, statement)
	x.Start(attempt)
	x.Accept()
	x.readCommand()
	return attempt
}

// respond sends the complete result of one empty page, and awaits the end of the attempt.
func (x exchange) respond(attempt *lifecycle.Attempt) {
	x.T.Helper()
	x.write(attempt.Request.ID + emptyResult)
	x.AwaitEnd(attempt)
}

// readCommand reads one command of the client, with its statement if it has one.
func (x exchange) readCommand() {
	x.T.Helper()
	line, err := x.Reader.ReadString('\n')
	x.Check(err)
	x.Printf("> %q\n", line)
	if !strings.HasPrefix(line, "want ") {
		return
	}
	var length int
	_, err = fmt.Sscan(line[strings.LastIndexByte(line, ' '):], &length)
	x.Check(err)
	body := make([]byte, length+len("\r\n"))
	_, err = io.ReadFull(x.Reader, body)
	x.Check(err)
	x.Printf("> %q\n", body)
}

// write sends text of the engine in one piece.
func (x exchange) write(text string) {
	x.T.Helper()
	x.Write([]byte(text))
}

const (
	id        = "9b1f03aa5c7e2d41"
	otherID   = "0000000000000001"
	nextID    = "0000000000000002"
	statement = "SELECT 1"
	question  = "SELECT day FROM sales_17.orders WHERE note = 'é\r\n'"
	// The responses without the id that they begin with.
	emptyResult = " DONE batches=1 0\r\n\r\n"
	firstOfTwo  = " DONE batches=2 6\r\na\tb\tc\n\r\n"
	unreadable  = " ODD - 0\r\n\r\n"
	// resetDelay is longer than a reset takes to reach the client's socket.
	resetDelay = 200 * time.Millisecond
)

// exchangeScripts are the exchanges by the name of their golden file.
var exchangeScripts = map[string]script{
	"want": {play: func(x exchange) {
		plain := x.start(id, question)
		full := x.newAttempt("00000000000000ff", "")
		full.Request.IdempotencyKey = "key-1"
		full.MemoryMB = 96.75
		full.Priority = 3
		full.Timeout = 250 * time.Millisecond
		x.begin(full)
		x.readCommand()
		expired := x.newAttempt("0000000000000100", statement)
		expired.Priority = 0
		expired.Timeout = 0
		x.begin(expired)
		x.readCommand()
		for _, attempt := range []*lifecycle.Attempt{expired, full, plain} { // in any order
			x.respond(attempt)
		}
		x.RemoveEngineAndAwaitClose()
	}},
	"cancel-permitted": {cancels: true, play: func(x exchange) {
		x.Abandon(x.start(id, question))
		x.readCommand()
		x.RemoveEngineAndAwaitClose()
	}},
	"cancel-not-permitted": {play: func(x exchange) {
		x.Abandon(x.start(id, question))
		x.RemoveEngineAndAwaitClose()
	}},
	"cancel-between-pages": {play: func(x exchange) { // pages that are not fetched yet are released
		attempt := x.start(id, question)
		x.write(id + firstOfTwo)
		x.readCommand()
		x.Abandon(attempt)
		x.readCommand()
		x.RemoveEngineAndAwaitClose()
	}},
	"hurry": {play: func(x exchange) {
		attempt := x.start(id, question)
		for priority := range 4 {
			x.Do(func() { x.Client.SetPriority(attempt, priority) })
			x.readCommand()
		}
		x.write(id + " DONE batches=0 0\r\n\r\n")
		x.AwaitEnd(attempt)
		x.RemoveEngineAndAwaitClose()
	}},
	"pages": {play: func(x exchange) {
		attempt := x.start(id, question)
		x.write(id + " DONE batches=4,cpu=12.5,used=3 6\r\na\tb\tc\n\r\n")
		for range 3 {
			x.readCommand()
		}
		x.write(id + " MORE batch=2 6\r\ng\th\ti\n\r\n")
		x.write(id + " MORE batch=2 6\r\ng\th\ti\n\r\n") // a duplicate
		x.write(id + " MORE batch=1 12\r\nd\t\té\nj\tk\tl\n\r\n")
		x.write(id + " MORE batch=3 0\r\n\r\n")
		x.readCommand()
		x.AwaitEnd(attempt)
		x.RemoveEngineAndAwaitClose()
	}},
	"answers": {play: func(x exchange) {
		for number, word := range []string{"WAIT", "BROKE", "PAST"} {
			attempt := x.start(fmt.Sprintf("%016x", number), statement)
			x.write(attempt.Request.ID + " " + word + " - 0\r\n\r\n")
			x.AwaitEnd(attempt)
		}
		for number, response := range []string{
			"DONE batches=0 0\r\n\r\n",
			"DONE batches=1,cpu=0.25,used=1.5 6\r\na\tb\tc\n\r\n",
			"DONE used=x,cpu=NaN,batches=1 0\r\n\r\n",
			"DONE batches=1,cpu=-4 0\r\n\r\n",
		} {
			attempt := x.start(fmt.Sprintf("%016x", 16+number), statement)
			x.write(attempt.Request.ID + " " + response)
			x.AwaitEnd(attempt)
		}
		attempt := x.start(id, statement)
		x.write(id + firstOfTwo)
		x.readCommand()
		x.write(id + " BROKE - 0\r\n\r\n") // the engine no longer has the page
		x.AwaitEnd(attempt)
		x.RemoveEngineAndAwaitClose()
	}},
	"words-that-end-nothing": {play: func(x exchange) {
		attempt := x.start(id, statement)
		for _, fields := range []string{
			"res=p,num=0.5", "res=s,num=64", "res=w,num=1", "res=w,num=2", "res=?,num=1", "num=1", "-",
		} {
			x.write(id + " TELL " + fields + " 0\r\n\r\n")
		}
		x.write("t1 FIT - 0\r\n\r\n")
		x.write(id + " FIT - 0\r\n\r\n")
		x.write("ffffffffffffffff" + emptyResult) // to no request
		x.respond(attempt)
		var progress int64
		x.Do(func() { progress = x.Counters.Get(metrics.AttemptsProgress) })
		x.Printf("= %d notes\n", progress)
		x.RemoveEngineAndAwaitClose()
	}},
	"gauges": {play: func(x exchange) {
		for number, gauges := range []string{
			"inflight:7;util:0.61",
			"active:2;cpu:0.5;waiting:3;x0:0.25;x1:1.5",
			"queue:4;rps:100;avg_ms:3;err_rps:0",
			"rps:100",
			"",
			"util:NaN;inflight:x;x0:1e-3",
		} {
			attempt := x.start(fmt.Sprintf("%016x", number), statement)
			x.write(attempt.Request.ID + " DONE batches=1,gauges=" + gauges + " 0\r\n\r\n")
			x.AwaitEnd(attempt)
		}
		x.RemoveEngineAndAwaitClose()
	}},
}

// TestClient_ExchangesMatchTheGoldenFiles checks the bytes of both sides and the reports of the
// client.
func TestClient_ExchangesMatchTheGoldenFiles(t *testing.T) {
	enginetest.PlayScripts(t, exchangeScripts)
}

// connectionScripts are the exchanges that show how connections begin, retire and end, by the
// name of their golden file.
var connectionScripts = map[string]script{
	"withdrawn-while-dialing": {cancels: true, play: func(x exchange) {
		withdrawn := x.newAttempt(id, statement)
		next := x.newAttempt(otherID, statement)
		x.StartThen(withdrawn, func() {
			if !x.Client.Withdraw(withdrawn) {
				x.T.Error("an attempt that was not written could not be withdrawn")
			}
			x.Client.Start(next)
		})
		x.Accept()
		x.readCommand()
		x.respond(next)
		again := x.start(id, statement) // nothing was written for it: the id may be used
		x.Do(func() {
			if x.Client.Withdraw(again) {
				x.T.Error("an attempt that was written could be withdrawn")
			}
		})
		x.respond(again)
		x.RemoveEngineAndAwaitClose()
	}},
	"removed-while-dialing": {play: func(x exchange) {
		attempt := x.newAttempt(id, statement)
		x.StartThen(attempt, x.RemoveEngine)
		x.Accept()
		x.AwaitEnd(attempt)
		x.AwaitClose()
		x.PrintConnections()
	}},
	"retired-while-dialing": {play: func(x exchange) {
		attempt := x.newAttempt(id, statement)
		x.StartThen(attempt, x.RestartEngine)
		x.Accept()
		x.readCommand()
		x.respond(attempt)
		x.AwaitClose()
		x.respond(x.start(otherID, statement))
		x.RemoveEngineAndAwaitClose()
		x.PrintConnections()
	}},
	"retired-while-dialing-unused": {play: func(x exchange) {
		attempt := x.newAttempt(id, statement)
		x.StartThen(attempt, func() {
			x.Client.Abandon(attempt)
			x.RestartEngine()
		})
		x.Accept()
		x.AwaitClose()
		x.PrintConnections()
	}},
	"retired-while-busy": {cancels: true, play: func(x exchange) {
		served := x.start(id, statement)
		abandoned := x.start(otherID, "SELECT 2")
		x.Do(x.RestartEngine)
		x.respond(served)
		x.Abandon(abandoned) // the last attempt on the connection, which closes after the cancel
		x.AwaitClose()
		x.PrintConnections()
	}},
	"closed-by-engine": {play: func(x exchange) {
		served := x.start(id, statement)
		lost := x.start(otherID, "SELECT 2")
		x.write(id + emptyResult) // read and handled before the end of the connection
		x.write(otherID + firstOfTwo)
		x.readCommand()
		x.write(otherID + " MORE ba")
		x.Disconnect()
		x.AwaitEnd(lost)
		x.AwaitEnd(served)
		x.PrintConnections()
	}},
	"reset-before-write": {play: func(x exchange) {
		x.respond(x.start(id, statement))
		unwritten := x.newAttempt(otherID, statement)
		x.BlockLoop(func() {
			x.Reset()
			time.Sleep(resetDelay)
		}, func() { // the client has not been notified of the end yet when it writes
			x.Client.Start(unwritten)
		})
		x.AwaitEnd(unwritten)
		x.respond(x.start(otherID, statement))
		x.RemoveEngineAndAwaitClose()
	}},
	"abandoned-after-protocol-error": {cancels: true, play: func(x exchange) {
		served := x.start(id, statement)
		abandoned := x.start(otherID, "SELECT 2")
		// The end of the connection is posted after this, when the second response is read.
		x.Do(func() {
			x.OnServed(func() { x.Post(func() { x.Client.Abandon(abandoned) }) })
		})
		x.write(id + emptyResult + otherID + unreadable)
		x.AwaitEnd(served)
		x.AwaitClose()
		x.PrintConnections()
	}},
	"abandoned-id": {play: func(x exchange) {
		abandoned := x.start(id, statement)
		x.Abandon(abandoned)
		other := x.start(otherID, "SELECT 2") // on the same connection
		x.write(id + emptyResult)             // late
		x.respond(other)
		x.respond(x.startOnNewConnection(id, statement))
		x.RemoveEngineAndAwaitClose()
		x.PrintConnections()
	}},
	"evicted": {maxConnections: 1, play: func(x exchange) {
		x.Abandon(x.start(id, statement))
		busy := x.start(otherID, "SELECT 2")
		unconnected := x.newAttempt(id, statement) // the id can't be used on the connection, which is busy
		x.begin(unconnected)
		x.AwaitEnd(unconnected)
		x.respond(busy)
		again := x.newAttempt(id, statement)
		x.Start(again)
		x.AwaitClose() // of the idle connection
		x.Accept()
		x.readCommand()
		x.respond(again)
		x.RemoveEngineAndAwaitClose()
		x.PrintConnections()
	}},
}

// TestClient_ConnectionsMatchTheGoldenFiles checks how connections and their attempts begin,
// retire and end.
func TestClient_ConnectionsMatchTheGoldenFiles(t *testing.T) {
	enginetest.PlayScripts(t, connectionScripts)
}

// malformedResponse returns a script in which the engine sends a malformed response. The
// connection is then closed with all attempts on it, and the next request is sent on a new one.
func malformedResponse(response string) script {
	return script{cancels: true, play: func(x exchange) {
		attempt := x.start(id, statement)
		other := x.start(otherID, "SELECT 2")
		x.write(response)
		x.AwaitEnd(attempt)
		x.AwaitEnd(other)
		x.AwaitClose()
		x.respond(x.start(nextID, "SELECT 3"))
		x.RemoveEngineAndAwaitClose()
	}}
}

func TestClient_ClosesTheConnectionAfterAMalformedResponse(t *testing.T) {
	enginetest.PlayScripts(t, map[string]script{
		"unreadable-word":        malformedResponse(id + unreadable),
		"unreadable-three-words": malformedResponse(id + " DONE batches=1\r\n"),
		"unreadable-length":      malformedResponse(id + " DONE batches=1 x\r\n"),
		"unreadable-long":        malformedResponse(id + " DONE batches=1 16385\r\n"),
		"unreadable-line-end":    malformedResponse(id + " DONE batches=1 0\n"),
		"unreadable-body-end":    malformedResponse(id + " DONE batches=1 6\r\na\tb\tc\nxx"),
		"unreadable-two-columns": malformedResponse(id + " DONE batches=1 4\r\na\tb\n\r\n"),
		"unreadable-half-row":    malformedResponse(id + " DONE batches=1 5\r\na\tb\tc\r\n"),
		"unreadable-text":        malformedResponse(id + " DONE batches=1 6\r\na\tb\t\xff\n\r\n"),
		"unreadable-no-pages":    malformedResponse(id + " DONE - 0\r\n\r\n"),
		"unreadable-many-pages":  malformedResponse(id + " DONE batches=65 0\r\n\r\n"),
		"unreadable-page":        malformedResponse(id + " MORE batch=1 0\r\n\r\n"),
	})
}
