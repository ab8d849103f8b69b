package main

import (
	"io"
	"log/slog"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"flaxrelay/internal/tcptest"
)

// startServer runs a server of the HTTP protocol with one engine, in this process. Replacements
// are pairs of texts in the example configuration. The channel is closed when its loop has ended.
func startServer(t *testing.T, engine string, replacements ...string) (s *server, ended <-chan struct{}) {
	t.Helper()
	replacements = append(replacements, exampleEngineAddress, engine, exampleListenAddress, tcptest.AnyLoopbackPort)
	path := filepath.Join(t.TempDir(), "config.json")
	writeFile(t, path, strings.NewReplacer(replacements...).Replace(readFile(t, exampleConfig)))
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

// A graceful shutdown: a client that comes right after SIGTERM is still served, what is
// in flight goes on, what no engine answers gets its final answer before the kill, and
// then the server ends.
func TestGracefulShutdown(t *testing.T) {
	const (
		unansweredID = "9b1f03aa5c7e2d41"
		answeredID   = "9b1f03aa5c7e2d42"
	)
	arrived := make(chan string, 10)
	engine := startEngine(t, func(conn net.Conn, requestID string) {
		if !strings.HasSuffix(requestID, "1") {
			answerWithoutRows(conn, requestID)
		}
		arrived <- requestID
	})
	s, ended := startServer(t, engine)
	unanswered := sendLookup(t, s.frontEnd.Addr(), unansweredID)
	<-arrived
	startedAt := time.Now()
	s.loop.Post(s.startShutdown)
	if got := <-sendLookup(t, s.frontEnd.Addr(), answeredID); got != "200 OK" {
		t.Errorf("a client right after SIGTERM got %s", got)
	}
	// Its class is idempotent: the client is told to retry elsewhere, and after how long.
	if got := <-unanswered; got != "503 Service Unavailable, retry after" {
		t.Errorf("what no engine answers got %s", got)
	}
	<-ended
	if took := time.Since(startedAt); took > 3700*time.Millisecond {
		t.Errorf("the shutdown took %v: the kill comes first", took)
	}
	if conn, err := net.Dial("tcp", s.frontEnd.Addr()); err == nil {
		closeQuietly(conn)
		t.Error("still listening")
	}
}

// A request whose last bytes come after the final answers of a graceful shutdown, just before
// its end, is answered too.
func TestGracefulShutdown_RequestThatCompletesAtItsEndIsAnswered(t *testing.T) {
	engine := startEngine(t, func(net.Conn, string) {}) // it never answers
	s, ended := startServer(t, engine, `"hard-limit-ms": 6000`, `"hard-limit-ms": 1000`, `"hard-limit-ms": 20000`, `"hard-limit-ms": 1000`)
	client := newHTTPClient(t, s.frontEnd.Addr(), 10*time.Second)
	request := lookupRequest("9b1f03aa5c7e2d43")
	half := len(request) / 2
	if _, err := io.WriteString(client.conn, request[:half]); err != nil {
		t.Fatal(err)
	}
	s.loop.Post(func() {
		s.startShutdown()
		const killAfter = time.Second + killGrace
		s.loop.Timers.Schedule(s.loop.Now()+killAfter-finalAnswerLead+10*time.Millisecond, func() {
			_, _ = io.WriteString(client.conn, request[half:]) // it may have its answer already
		})
	})
	response, err := http.ReadResponse(client.responses, nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	if response.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("got %s", response.Status)
	}
	<-ended
}
