package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"testing"

	"flaxrelay/internal/tcptest"
)

// startEngine starts an engine that speaks the line protocol and passes each request to the handler. It
// returns the address of the engine.
func startEngine(t *testing.T, handle func(conn net.Conn, requestID string)) (address string) {
	t.Helper()
	listener := tcptest.Listen(t, tcptest.AnyLoopbackPort)
	go tcptest.Serve(listener, func(conn net.Conn) { serveEngineConnection(conn, handle) })
	return listener.Addr().String()
}

func serveEngineConnection(conn net.Conn, handle func(conn net.Conn, requestID string)) {
	for lines := bufio.NewScanner(conn); lines.Scan(); {
		if words := strings.Fields(lines.Text()); len(words) == 4 && words[0] == "want" {
			handle(conn, words[1])
		}
	}
}

// respondWithoutRows sends a complete result without rows.
func respondWithoutRows(conn net.Conn, requestID string) {
	_, _ = fmt.Fprintf(conn, "%s DONE batches=1 0\r\n\r\n", requestID) // the front end notices a lost connection
}
