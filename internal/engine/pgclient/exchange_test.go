package pgclient_test

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"io"
	"time"

	"flaxrelay/internal/engine/enginetest"
	"flaxrelay/internal/engine/pgclient"
	"flaxrelay/internal/lifecycle"
	"flaxrelay/internal/pgproto"
)

// blockingSize exceeds what the kernel accepts while the engine does not read, in bytes.
const blockingSize = 7 << 20

// script is a golden test of the PostgreSQL protocol.
type script struct {
	connectTimeout   time.Duration // 0: enginetest.Timeout
	maxBufferedBytes int           // 0: the default of the client
	reuseDelay       time.Duration // 0: connections are reused at once
	play             func(exchange)
}

// exchange is the exchange with a scripted PostgreSQL engine.
type exchange struct{ *enginetest.Exchange }

// Setup implements enginetest.Script.
func (s script) Setup() enginetest.Setup {
	options := pgclient.Options{
		User:             "ringwood",
		Database:         "register",
		ConnectTimeout:   cmp.Or(s.connectTimeout, enginetest.Timeout),
		MaxBufferedBytes: s.maxBufferedBytes,
		ReuseDelay:       s.reuseDelay,
	}
	return enginetest.Setup{
		Settings: enginetest.Settings(
			`"cancel":true`, enginetest.Class("lookup", "read_like"), enginetest.Class("write", "non_idempotent"),
		),
		NewClient: func(env enginetest.Environment) lifecycle.EngineClient {
			return pgclient.New(env.Loop, env.Dispatcher, options, env.Counters, env.Log)
		},
		PrintServed: printServed,
	}
}

// Play implements enginetest.Script.
func (s script) Play(x *enginetest.Exchange) { s.play(exchange{x}) }

func printServed(out io.Writer, _ *lifecycle.Request, report lifecycle.AttemptReport) {
	result, ok := report.Result.(*pgproto.Result)
	if !ok {
		_, _ = fmt.Fprintf(out, "= a result of type %T\n", report.Result)
		return
	}
	_, _ = fmt.Fprintf(out, "= parameters %q, fields %q, %d rows %q, tag %q, empty %t\n",
		result.ParameterDescription, result.RowDescription, result.RowCount, result.DataRows,
		result.CommandTag, result.EmptyQuery)
}

// newAttempt returns an attempt that is not started.
func (x exchange) newAttempt(class string, statement *pgproto.Statement) *lifecycle.Attempt {
	request := &lifecycle.Request{ID: "1", Class: class, Statement: statement}
	return x.NewAttempt(request, enginetest.Timeout)
}

// start starts an attempt for a statement of the class "lookup".
func (x exchange) start(statement *pgproto.Statement) *lifecycle.Attempt {
	attempt := x.newAttempt("lookup", statement)
	x.Start(attempt)
	return attempt
}

// connectAndStart starts an attempt as start does. It accepts the connection that the client dials
// for it, completes the startup and reads the query.
func (x exchange) connectAndStart(statement *pgproto.Statement) *lifecycle.Attempt {
	x.T.Helper()
	attempt := x.start(statement)
	x.acceptStartup()
	x.readQuery()
	return attempt
}

// startOnIdle starts an attempt as start does, and reads its query on the open connection.
func (x exchange) startOnIdle(statement *pgproto.Statement) *lifecycle.Attempt {
	x.T.Helper()
	attempt := x.start(statement)
	x.readQuery()
	return attempt
}

// respond sends the rest of the attempt's response, and waits until the attempt has ended.
func (x exchange) respond(attempt *lifecycle.Attempt, messages ...[]byte) {
	x.T.Helper()
	x.Write(messages...)
	x.AwaitEnd(attempt)
}

// acceptPacket accepts the next connection and reads its first packet.
func (x exchange) acceptPacket() {
	x.T.Helper()
	x.Accept()
	x.Printf("connection\n")
	x.readPacket(0)
}

// readPacket reads one packet, whose length field is at this offset, and returns its first byte.
func (x exchange) readPacket(lengthOffset int) byte {
	x.T.Helper()
	head, err := x.Reader.Peek(lengthOffset + lengthSize)
	x.Check(err)
	packet := make([]byte, lengthOffset+int(binary.BigEndian.Uint32(head[lengthOffset:])))
	_, err = io.ReadFull(x.Reader, packet)
	x.Check(err)
	x.Printf("> %q\n", packet)
	return packet[0]
}

// readQuery reads the messages of a query, up to its Sync.
func (x exchange) readQuery() {
	x.T.Helper()
	for kind := byte(0); kind != 'S'; {
		kind = x.readPacket(1)
	}
}

// awaitCloseWithinQuery reads until the client closes the connection, and checks that the query before that is
// incomplete.
func (x exchange) awaitCloseWithinQuery() {
	x.T.Helper()
	rest, _ := io.ReadAll(x.Reader) // the close may reset the connection
	if len(rest) >= blockingSize {
		x.T.Errorf("%d bytes of a query of %d bytes arrived", len(rest), blockingSize)
	}
	x.Printf("> a part of a query, and the end of the connection\n")
}

// acceptStartup accepts the next connection and completes its startup.
func (x exchange) acceptStartup() {
	x.T.Helper()
	x.acceptPacket()
	x.Write(authenticationOK, parameterStatus, backendKeyData, readyForQuery)
}

// startDuringStartup starts an attempt on the connection whose startup packet was read last,
// completes the startup and serves the attempt.
func (x exchange) startDuringStartup(statement *pgproto.Statement) {
	x.T.Helper()
	attempt := x.start(statement)
	x.Write(authenticationOK, backendKeyData, readyForQuery)
	x.readQuery()
	x.respond(attempt, emptyResponse...)
}
