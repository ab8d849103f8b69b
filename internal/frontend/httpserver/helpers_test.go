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

const (
	// waitLimit limits every wait of a test.
	waitLimit = 10 * time.Second
	// healthRequest is a request that the server responds to without an engine.
	healthRequest = "GET /health HTTP/1.1\r\n\r\n"
	// statementRequest is a request that is forwarded.
	statementRequest = "POST /rpc/lookup HTTP/1.1\r\n" +
		"Req-Id: 9b1f03aa5c7e2d41\r\nReq-Wait-Ms: 9000\r\nContent-Length: 8\r\n\r\nSELECT 1"
)

// noEngines is an engine client that never sends an attempt to an engine: each attempt stays in flight.
type noEngines struct{}

func (noEngines) Start(*lifecycle.Attempt)            {}
func (noEngines) Abandon(*lifecycle.Attempt)          {}
func (noEngines) Withdraw(*lifecycle.Attempt) bool    { return false }
func (noEngines) SetPriority(*lifecycle.Attempt, int) {}
func (noEngines) UpdateEndpoint(lifecycle.Endpoint)   {}

// startTestServer returns a server that runs until the end of the test. Its only engine is unreachable.
func startTestServer(t *testing.T, options Options) *Server {
	t.Helper()
	raw, err := os.ReadFile("../../../deploy/postgres-settings.json")
	if err != nil {
		t.Fatal(err)
	}
	var settings config.Settings
	if err := json.Unmarshal(raw, &settings); err != nil {
		t.Fatal(err)
	}
	loop, err := eventloop.New()
	if err != nil {
		t.Fatal(err)
	}
	counters := metrics.New()
	const seed = 1
	logger := slog.New(slog.DiscardHandler)
	dispatcher, err := lifecycle.NewDispatcher(settings.Policy, seed, loop, loop.Timers, counters, logger)
	if err != nil {
		t.Fatal(err)
	}
	dispatcher.SetEngineClient(noEngines{})
	dispatcher.UpdateEndpoints(policy.UpdateFull, []lifecycle.Endpoint{{
		Address: "127.0.0.1:1",
		Engine:  policy.Engine{ID: "e", State: policy.EngineReady},
	}})
	server := New(loop, dispatcher, options, counters)
	if err := server.Listen("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	eventlooptest.Run(t, loop)
	return server
}

// firstConnection waits until a client is connected, and returns its connection.
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

// connect opens a client's connection, which is closed at the end of the test.
func connect(t *testing.T, server *Server) net.Conn {
	t.Helper()
	client, err := net.Dial("tcp", server.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = client.Close() })
	if err := client.SetDeadline(time.Now().Add(2 * waitLimit)); err != nil {
		t.Fatal(err)
	}
	return client
}

// send writes text without waiting for a response.
func send(t *testing.T, client net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(client, text); err != nil {
		t.Error(err)
	}
}

// awaitCondition polls until the condition holds.
func awaitCondition(t *testing.T, event string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitLimit); !condition(); runtime.Gosched() {
		if time.Now().After(deadline) {
			t.Errorf("waited %v for %s", waitLimit, event)
			return
		}
	}
}

// awaitOnLoop polls on the goroutine of the event loop until the condition holds.
func awaitOnLoop(t *testing.T, server *Server, event string, condition func() bool) {
	t.Helper()
	awaitCondition(t, event, func() (met bool) {
		eventlooptest.Do(server.loop, func() { met = condition() })
		return met
	})
}
