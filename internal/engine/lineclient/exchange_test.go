package lineclient_test

import (
	"fmt"
	"io"
	"strings"
	"time"

	"flaxrelay/internal/engine/enginetest"
	"flaxrelay/internal/engine/lineclient"
	"flaxrelay/internal/lifecycle"
)

// attemptTimeout is the timeout of an attempt. The golden files contain it.
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
			client := lineclient.New(env.Loop, env.Dispatcher, env.Settings, env.Counters, env.Log)
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

// newAttempt returns an attempt that is not started.
func (x exchange) newAttempt(id, statement string) *lifecycle.Attempt {
	request := &lifecycle.Request{ID: id, Class: "report", Statement: statement}
	attempt := x.NewAttempt(request, attemptTimeout)
	attempt.Priority = 1
	return attempt
}

// startAttempt starts the attempt and reads its request. If no connection is open, it accepts the
// connection that the client dials.
func (x exchange) startAttempt(attempt *lifecycle.Attempt) {
	x.T.Helper()
	x.Start(attempt)
	if !x.Connected() {
		x.Accept()
	}
	x.readCommand()
}

// start starts a new attempt as startAttempt does.
func (x exchange) start(id, statement string) *lifecycle.Attempt {
	x.T.Helper()
	attempt := x.newAttempt(id, statement)
	x.startAttempt(attempt)
	return attempt
}

// startOnNewConnection starts a new attempt on a connection that the client dials for it, and
// reads its request.
func (x exchange) startOnNewConnection(id, statement string) *lifecycle.Attempt {
	x.T.Helper()
	attempt := x.newAttempt(id, statement)
	x.Start(attempt)
	x.Accept()
	x.readCommand()
	return attempt
}

// respond sends a complete result of one empty page, and waits until the attempt has ended.
func (x exchange) respond(attempt *lifecycle.Attempt) {
	x.T.Helper()
	x.write(attempt.Request.ID + emptyResult)
	x.AwaitEnd(attempt)
}

// respondFirstPage sends the first of two pages of a result, and reads the command with which the
// client fetches the second.
func (x exchange) respondFirstPage(attempt *lifecycle.Attempt) {
	x.T.Helper()
	x.write(attempt.Request.ID + firstOfTwo)
	x.readCommand()
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

// skipCommand reads one command of the client that has a statement, and adds only its size to the transcript.
func (x exchange) skipCommand() {
	x.T.Helper()
	line, err := x.Reader.ReadString('\n')
	x.Check(err)
	var length int64
	_, err = fmt.Sscan(line[strings.LastIndexByte(line, ' '):], &length)
	x.Check(err)
	_, err = io.CopyN(io.Discard, x.Reader, length+int64(len("\r\n")))
	x.Check(err)
	x.Printf("> a command with a statement of %d bytes\n", length)
}

// awaitCloseWithinCommand reads until the client closes the connection, and checks that the command before that is
// incomplete.
func (x exchange) awaitCloseWithinCommand() {
	x.T.Helper()
	rest, _ := io.ReadAll(x.Reader) // the close may reset the connection
	if len(rest) >= blockingSize {
		x.T.Errorf("%d bytes of a command with a statement of %d bytes arrived", len(rest), blockingSize)
	}
	x.Printf("> a part of a command, and the end of the connection\n")
}

// write sends text from the engine to the client in one piece.
func (x exchange) write(text string) {
	x.T.Helper()
	x.Write([]byte(text))
}
