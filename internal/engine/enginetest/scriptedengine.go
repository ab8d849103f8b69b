package enginetest

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"syscall"
	"time"

	"flaxrelay/internal/tcptest"
)

// ScriptedEngine is the engine that a script plays. It owns the listener that the client dials, and
// the engine's side of the connection that was accepted last. It adds what happens on the
// connection to the transcript, except for the bytes that the script reads with Reader. It must be
// used on the test's goroutine.
type ScriptedEngine struct {
	// Reader reads the bytes that the client writes on the connection accepted last.
	Reader *bufio.Reader

	transcript *Transcript
	listener   *net.TCPListener
	connection *net.TCPConn // nil: no connection is open
}

// newScriptedEngine returns an engine that listens for connections.
func newScriptedEngine(transcript *Transcript) *ScriptedEngine {
	transcript.T.Helper()
	return &ScriptedEngine{
		transcript: transcript,
		listener:   tcptest.Listen(transcript.T, tcptest.AnyLoopbackPort),
	}
}

// address returns the address on which the engine listens.
func (e *ScriptedEngine) address() string { return e.listener.Addr().String() }

// Accept accepts the next connection.
func (e *ScriptedEngine) Accept() {
	e.transcript.T.Helper()
	e.transcript.Check(e.listener.SetDeadline(time.Now().Add(Timeout)))
	connection, err := e.listener.AcceptTCP()
	e.transcript.Check(err)
	e.transcript.T.Cleanup(func() { _ = connection.Close() })
	e.transcript.Check(connection.SetDeadline(time.Now().Add(Timeout)))
	e.connection = connection
	e.Reader = bufio.NewReader(connection)
}

// Connected reports whether a connection was accepted and neither the test nor the client has
// closed it.
func (e *ScriptedEngine) Connected() bool { return e.connection != nil }

// Write sends messages in one piece. It adds each message to the transcript as one line.
func (e *ScriptedEngine) Write(messages ...[]byte) {
	e.transcript.T.Helper()
	for _, message := range messages {
		e.transcript.Printf("< %q\n", message)
	}
	_, err := e.connection.Write(bytes.Join(messages, nil))
	e.transcript.Check(err)
}

// Disconnect closes the connection from the engine's side.
func (e *ScriptedEngine) Disconnect() {
	e.transcript.T.Helper()
	e.transcript.Printf("< end of the connection\n")
	e.transcript.Check(e.connection.Close())
	e.connection = nil
}

// Reset resets the connection from the engine's side.
func (e *ScriptedEngine) Reset() {
	e.transcript.T.Helper()
	e.transcript.Printf("< reset of the connection\n")
	e.transcript.Check(e.connection.SetLinger(0))
	e.transcript.Check(e.connection.Close())
	e.connection = nil
}

// AwaitClose waits until the client has closed the connection. It adds the bytes that the client
// wrote before the close to the transcript.
func (e *ScriptedEngine) AwaitClose() {
	e.transcript.T.Helper()
	rest, err := io.ReadAll(e.Reader)
	if len(rest) > 0 {
		e.transcript.Printf("> %q\n", rest)
	}
	if !errors.Is(err, syscall.ECONNRESET) {
		e.transcript.Check(err)
	}
	e.transcript.Printf("> end of the connection\n")
	_ = e.connection.Close()
	e.connection = nil
}
