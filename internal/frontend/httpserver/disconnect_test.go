package httpserver

import (
	"io"
	"net"
	"testing"

	"flaxrelay/internal/eventloop/eventlooptest"
)

// A client sends requests and disconnects before the first of them is read: none is accepted.
func TestConnection_RequestsOfADisconnectedClientAreDropped(t *testing.T) {
	server := startTestServer(t, Options{})
	client, err := net.Dial("tcp", server.Addr())
	if err != nil {
		t.Fatal(err)
	}
	c := firstConnection(server)
	eventlooptest.Do(server.loop, func() {
		if _, err := io.WriteString(client, statementRequest+statementRequest); err != nil {
			t.Error(err)
		}
		if err := client.Close(); err != nil {
			t.Error(err)
		}
		awaitCondition(t, "the end of the connection", c.socket.Disconnected)
	})
	// Disconnected is true before OnClosed is called, and OnData is called before OnClosed: once
	// the connection is unregistered, all requests have been handled.
	awaitOnLoop(t, server, "the connection to be unregistered", func() bool { return len(server.connections) == 0 })
	eventlooptest.Do(server.loop, func() {
		if n := server.counters.Sum("requests.accepted."); n != 0 {
			t.Errorf("%d requests of a disconnected client were accepted", n)
		}
	})
}
