package lineclient_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"flaxrelay/internal/engine/enginetest"
	"flaxrelay/internal/lifecycle"
	"flaxrelay/internal/metrics"
)

const (
	id                 = "9b1f03aa5c7e2d41"
	otherID            = "0000000000000001"
	nextID             = "0000000000000002"
	statement          = "SELECT 1"
	multilineStatement = "SELECT day FROM sales_17.orders WHERE note = 'é\r\n'"
	// Responses without the request id at their start.
	emptyResult = " DONE batches=1 0\r\n\r\n"
	firstOfTwo  = " DONE batches=2 6\r\na\tb\tc\n\r\n"
	unknownKind = " ODD - 0\r\n\r\n"
	// blockingSize exceeds what the kernel accepts while the engine does not read, in bytes.
	blockingSize = 7 << 20
	// resetDelay is longer than a reset takes to reach the client's socket.
	resetDelay = 200 * time.Millisecond
)

// blockingStatement is a statement that the socket accepts only in part.
var blockingStatement = strings.Repeat("x", blockingSize)

// exchangeScripts are the exchanges by the name of their golden file.
var exchangeScripts = map[string]script{
	"want": {play: func(x exchange) {
		plain := x.start(id, multilineStatement)
		full := x.newAttempt("00000000000000ff", "")
		full.Request.IdempotencyKey = "key-1"
		full.MemoryMB = 96.75
		full.Priority = 3
		full.Timeout = 250 * time.Millisecond
		x.startAttempt(full)
		expired := x.newAttempt("0000000000000100", statement)
		expired.Priority = 0
		expired.Timeout = 0
		x.startAttempt(expired)
		for _, attempt := range []*lifecycle.Attempt{expired, full, plain} { // responses may arrive in any order
			x.respond(attempt)
		}
		x.RemoveEngineAndAwaitClose()
	}},
	"cancel-permitted": {cancels: true, play: func(x exchange) {
		x.Abandon(x.start(id, multilineStatement))
		x.readCommand()
		x.RemoveEngineAndAwaitClose()
	}},
	"cancel-not-permitted": {play: func(x exchange) {
		x.Abandon(x.start(id, multilineStatement))
		x.RemoveEngineAndAwaitClose()
	}},
	"cancel-between-pages": {play: func(x exchange) { // the result is released although its second page has not arrived
		attempt := x.start(id, multilineStatement)
		x.respondFirstPage(attempt)
		x.Abandon(attempt)
		x.readCommand()
		x.RemoveEngineAndAwaitClose()
	}},
	"hurry": {play: func(x exchange) {
		attempt := x.start(id, multilineStatement)
		for priority := range 4 {
			x.Do(func() { x.Client.SetPriority(attempt, priority) })
			x.readCommand()
		}
		x.write(id + " DONE batches=0 0\r\n\r\n")
		x.AwaitEnd(attempt)
		x.RemoveEngineAndAwaitClose()
	}},
	"pages": {play: func(x exchange) {
		attempt := x.start(id, multilineStatement)
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
		x.respondFirstPage(attempt)
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
		x.write("ffffffffffffffff" + emptyResult) // the id belongs to no request
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

// connectionScripts are the exchanges in which connections are dialed, retired and closed, by the
// name of their golden file.
var connectionScripts = map[string]script{
	// Guards against a request that is queued behind what the socket does not accept, and sent after it has ended: it
	// waits, and can be withdrawn.
	"withdrawn-while-blocked": {play: func(x exchange) {
		x.respond(x.start(id, statement))
		large := x.newAttempt(otherID, blockingStatement)
		x.Start(large)
		withdrawn := x.newAttempt(nextID, statement)
		x.Start(withdrawn)
		next := x.newAttempt("0000000000000003", statement)
		x.Start(next)
		x.Withdraw(withdrawn)
		x.skipCommand()
		x.readCommand()
		x.respond(large)
		x.respond(next)
		x.RemoveEngineAndAwaitClose()
		x.PrintConnections()
	}},
	// Guards against a request that is sent to its end after it has been abandoned: the connection is closed within it.
	"abandoned-while-blocked": {play: func(x exchange) {
		x.respond(x.start(id, statement))
		other := x.start(nextID, statement)
		large := x.newAttempt(otherID, blockingStatement)
		x.Start(large)
		x.Abandon(large)
		x.awaitCloseWithinCommand()
		x.AwaitEnd(other)
		x.PrintConnections()
	}},
	"withdrawn-while-dialing": {cancels: true, play: func(x exchange) {
		withdrawn := x.newAttempt(id, statement)
		next := x.newAttempt(otherID, statement)
		x.StartThen(withdrawn, func() {
			if !x.Client.Withdraw(withdrawn) {
				x.T.Error("Withdraw failed although the request is not written")
			}
			x.Client.Start(next)
		})
		x.Accept()
		x.readCommand()
		x.respond(next)
		again := x.start(id, statement) // the withdrawn request was not written, so its id may be used
		x.Do(func() {
			if x.Client.Withdraw(again) {
				x.T.Error("Withdraw succeeded although the request is written")
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
		x.Abandon(abandoned) // this was the last attempt: the connection is closed after the cancel
		x.AwaitClose()
		x.PrintConnections()
	}},
	"closed-by-engine": {play: func(x exchange) {
		served := x.start(id, statement)
		lost := x.start(otherID, "SELECT 2")
		x.write(id + emptyResult) // the client reads and handles this before it detects the close
		x.respondFirstPage(lost)
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
		}, func() { // the client writes before it is notified of the reset
			x.Client.Start(unwritten)
		})
		x.AwaitEnd(unwritten)
		x.respond(x.start(otherID, statement))
		x.RemoveEngineAndAwaitClose()
	}},
	"abandoned-after-protocol-error": {cancels: true, play: func(x exchange) {
		served := x.start(id, statement)
		abandoned := x.start(otherID, "SELECT 2")
		// The client closes the connection when it reads the second response. The call of Abandon
		// is posted earlier, so it runs before the connection's OnClosed.
		x.Do(func() {
			x.OnServed(func() { x.Post(func() { x.Client.Abandon(abandoned) }) })
		})
		x.write(id + emptyResult + otherID + unknownKind)
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
	// Guards against a duplicate of a response, or a late page, that is taken for the response to a later request with
	// the same id: the id of a served request was free at once.
	"served-id": {play: func(x exchange) {
		x.respond(x.start(id, statement))
		paged := x.start(otherID, statement)
		x.respondFirstPage(paged)
		x.write(otherID + " MORE batch=1 0\r\n\r\n")
		x.readCommand() // the release
		x.AwaitEnd(paged)
		busy := x.start(nextID, statement)
		x.write(id + emptyResult)     // a duplicate
		x.write(otherID + firstOfTwo) // a duplicate
		x.write(otherID + " MORE batch=1 0\r\n\r\n")
		x.respond(busy)
		x.respond(x.startOnNewConnection(id, statement))
		x.respond(x.start(otherID, statement))
		x.RemoveEngineAndAwaitClose()
		x.PrintConnections()
	}},
	// Guards against a client that repeats an id and makes one more connection with each repetition: the new connection
	// replaces an idle one that has carried the id.
	"repeated-id": {play: func(x exchange) {
		x.respond(x.start(id, statement))
		for range 3 {
			again := x.newAttempt(id, "SELECT 2")
			x.Start(again)
			x.AwaitClose()
			x.Accept()
			x.readCommand()
			x.respond(again)
		}
		x.RemoveEngineAndAwaitClose()
		x.PrintConnections()
	}},
	"replaced-at-the-limit": {maxConnections: 1, play: func(x exchange) {
		x.Abandon(x.start(id, statement))
		busy := x.start(otherID, "SELECT 2")
		unconnected := x.newAttempt(id, statement) // the open connection is busy, and the id can't be used on it
		x.Start(unconnected)
		x.AwaitEnd(unconnected)
		x.respond(busy)
		again := x.newAttempt(id, statement)
		x.Start(again)
		x.AwaitClose() // the idle connection is replaced
		x.Accept()
		x.readCommand()
		x.respond(again)
		x.RemoveEngineAndAwaitClose()
		x.PrintConnections()
	}},
}

// TestClient_ConnectionsMatchTheGoldenFiles checks how connections are dialed, retired and closed,
// and how the attempts on them end.
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
		"unreadable-word":        malformedResponse(id + unknownKind),
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
