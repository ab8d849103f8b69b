package main

import (
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"
)

// startServer runs a server of the HTTP protocol with one engine in this process. Replacements are pairs
// of texts, as for writeExampleConfig. The channel is closed when the server's loop ends.
func startServer(t *testing.T, engine string, replacements ...string) (s *server, ended <-chan struct{}) {
	t.Helper()
	path := writeExampleConfig(t, append(replacements, exampleEngineAddress, engine)...)
	s = newServer(slog.New(slog.DiscardHandler))
	if err := s.listenHTTP(path, ""); err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		s.loop.Run()
		close(done)
	}()
	return s, done
}

// A client that connects right after SIGTERM is still served. A request to which no engine responds
// gets its final response before the kill. Then the server stops.
func TestGracefulShutdown_GivesEachRequestItsResponseBeforeTheKill(t *testing.T) {
	const (
		pendingID = "9b1f03aa5c7e2d41" // the engine does not respond to it
		servedID  = "9b1f03aa5c7e2d42"
	)
	arrived := make(chan string, 10)
	engine := startEngine(t, func(conn net.Conn, requestID string) {
		if requestID != pendingID {
			respondWithoutRows(conn, requestID)
		}
		arrived <- requestID
	})
	s, ended := startServer(t, engine)
	pending := sendLookup(t, s.frontEnd.Addr(), pendingID)
	<-arrived
	startedAt := time.Now()
	s.loop.Post(s.startShutdown)
	if got := <-sendLookup(t, s.frontEnd.Addr(), servedID); got != "200 OK" {
		t.Errorf("a request right after SIGTERM got %s", got)
	}
	// The request is idempotent, so it is rejected with a Retry-After time.
	if got := <-pending; got != "503 Service Unavailable, retry after" {
		t.Errorf("the pending request got %s", got)
	}
	<-ended
	if took := time.Since(startedAt); took > 3700*time.Millisecond {
		t.Errorf("the shutdown took %v, longer than the time until the kill", took)
	}
	if conn, err := net.Dial("tcp", s.frontEnd.Addr()); err == nil {
		closeQuietly(conn)
		t.Error("the listener is still open")
	}
}

// The last bytes of the request arrive after the final responses of a graceful shutdown, just before the
// shutdown ends.
func TestGracefulShutdown_RequestThatArrivesLastGetsAResponse(t *testing.T) {
	engine := startEngine(t, func(net.Conn, string) {}) // never responds
	s, ended := startServer(t, engine,
		`"hard-limit-ms": 6000`, `"hard-limit-ms": 1000`,
		`"hard-limit-ms": 20000`, `"hard-limit-ms": 1000`)
	client := newHTTPClient(t, s.frontEnd.Addr(), 10*time.Second)
	request := lookupRequest("9b1f03aa5c7e2d43")
	half := len(request) / 2
	if _, err := io.WriteString(client.conn, request[:half]); err != nil {
		t.Fatal(err)
	}
	s.loop.Post(func() {
		s.startShutdown()
		const killAfter = time.Second + killGrace
		s.loop.Timers.Schedule(s.loop.Now()+killAfter-finalResponseLead+10*time.Millisecond, func() {
			_, _ = io.WriteString(client.conn, request[half:]) // the request may have its response already
		})
	})
	response, err := http.ReadResponse(client.responses, nil)
	if err != nil {
		t.Fatalf("no response: %v", err)
	}
	if response.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("got %s", response.Status)
	}
	<-ended
}
