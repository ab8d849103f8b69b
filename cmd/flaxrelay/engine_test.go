package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"testing"

	"flaxrelay/internal/tcptest"
)

// startEngine returns the address of an engine of the line protocol that gives each
// request to the handler.
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

// answerWithoutRows completes a request of an engine's connection.
func answerWithoutRows(conn net.Conn, requestID string) {
	_, _ = fmt.Fprintf(conn, "%s DONE batches=1 0\r\n\r\n", requestID) // a lost connection shows at the client
}
