package httpserver

import (
	"encoding/json"
	"io"
	"log/slog"
	"net"
	"os"
	"runtime"
	"testing"
	"time"

	"flaxrelay/internal/config"
	"flaxrelay/internal/eventloop"
	"flaxrelay/internal/eventloop/eventlooptest"
	"flaxrelay/internal/lifecycle"
	"flaxrelay/internal/metrics"
	"flaxrelay/policy"
)

// noEngines is an engine client that reaches no engine.
type noEngines struct{}

func (noEngines) Start(*lifecycle.Attempt)            {}
func (noEngines) Abandon(*lifecycle.Attempt)          {}
func (noEngines) Withdraw(*lifecycle.Attempt) bool    { return false }
func (noEngines) SetPriority(*lifecycle.Attempt, int) {}
func (noEngines) UpdateEndpoint(lifecycle.Endpoint)   {}

// startTestServer returns a server that runs until the end of the test. Its one engine can't be
// reached.
func startTestServer(t *testing.T) *Server {
	t.Helper()
	raw, err := os.ReadFile("../../../deploy/postgres-settings.json")
	if err != nil {
		t.Fatal(err)
	}
	var site config.Settings
	if err := json.Unmarshal(raw, &site); err != nil {
		t.Fatal(err)
	}
	loop, err := eventloop.New()
	if err != nil {
		t.Fatal(err)
	}
	counters := metrics.New()
	dispatcher, err := lifecycle.NewDispatcher(site.Policy, 1, loop, loop.Timers, counters, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	dispatcher.SetEngineClient(noEngines{})
	dispatcher.UpdateEndpoints(policy.UpdateFull, []lifecycle.Endpoint{{Address: "127.0.0.1:1", Engine: policy.Engine{ID: "e", State: policy.EngineReady}}})
	server := New(loop, dispatcher, Options{}, counters)
	if err := server.Listen("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	eventlooptest.Run(t, loop)
	return server
}

// firstConnection waits for a client's connection.
func firstConnection(server *Server) (c *connection) {
	for c == nil {
		eventlooptest.Do(server.loop, func() {
			for open := range server.connections {
				c = open
			}
		})
	}
	return c
}

// A client sends requests and disconnects before the first of them is read: none is accepted.
func TestDisconnectedClientsRequestsAreDropped(t *testing.T) {
	server := startTestServer(t)
	loop, counters := server.loop, server.counters
	client, err := net.Dial("tcp", server.Addr())
	if err != nil {
		t.Fatal(err)
	}
	c := firstConnection(server)
	const request = "POST /rpc/lookup HTTP/1.1\r\nReq-Id: 9b1f03aa5c7e2d41\r\nReq-Wait-Ms: 900\r\nContent-Length: 8\r\n\r\nSELECT 1"
	eventlooptest.Do(loop, func() {
		if _, err := io.WriteString(client, request+request); err != nil {
			t.Error(err)
		}
		if err := client.Close(); err != nil {
			t.Error(err)
		}
		for deadline := time.Now().Add(10 * time.Second); !c.socket.Disconnected() && time.Now().Before(deadline); {
			runtime.Gosched()
		}
	})
	// The event loop says that the client has disconnected before it posts OnClosed, and
	// posts OnData before that: once the connection is unregistered, all was handled.
	registered := true
	for deadline := time.Now().Add(10 * time.Second); registered && time.Now().Before(deadline); {
		eventlooptest.Do(loop, func() { registered = len(server.connections) != 0 })
	}
	if registered {
		t.Error("its connection is still registered")
	}
	eventlooptest.Do(loop, func() {
		if n := counters.Sum("requests.accepted."); n != 0 {
			t.Errorf("%d requests of a disconnected client were accepted", n)
		}
	})
}
