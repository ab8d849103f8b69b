package httpserver

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"flaxrelay/internal/engine/lineclient"
	"flaxrelay/internal/eventloop/eventlooptest"
)

// clientScenario is a server with one client and its connection.
type clientScenario struct {
	t          *testing.T
	server     *Server
	client     net.Conn
	reader     *bufio.Reader
	connection *connection
	resultPath string // path of the result that fetchFirstPage buffers
}

func newClientScenario(t *testing.T, options Options) *clientScenario {
	t.Helper()
	server := startTestServer(t, options)
	client := connect(t, server)
	return &clientScenario{
		t: t, server: server, client: client, reader: bufio.NewReader(client), connection: firstConnection(server),
	}
}

// onLoop calls do on the goroutine of the event loop.
func (s *clientScenario) onLoop(do func()) { eventlooptest.Do(s.server.loop, do) }

// onLoopWithUnread sends text and calls do on the goroutine of the event loop after the poller has read the text and
// before OnData is called for it.
func (s *clientScenario) onLoopWithUnread(text string, do func()) {
	s.t.Helper()
	s.onLoop(func() {
		want := s.server.loop.BufferedBytes() + int64(len(text))
		send(s.t, s.client, text)
		awaitCondition(s.t, "the poller to read the text", func() bool { return s.server.loop.BufferedBytes() >= want })
		do()
	})
}

// roundTrip sends a request and returns its response: the status, and "close" if the response announces the end of the
// connection.
func (s *clientScenario) roundTrip(text string) string {
	s.t.Helper()
	send(s.t, s.client, text)
	response, err := s.receive()
	if err != nil {
		s.t.Fatal(err)
	}
	return response
}

func (s *clientScenario) receive() (string, error) {
	response, err := http.ReadResponse(s.reader, nil)
	if err != nil {
		return "", fmt.Errorf("read a response: %w", err)
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return "", fmt.Errorf("read a body: %w", err)
	}
	if response.Close {
		return fmt.Sprintf("%d close", response.StatusCode), nil
	}
	return fmt.Sprint(response.StatusCode), nil
}

// receiveUntilEnd returns all responses up to the end of the connection.
func (s *clientScenario) receiveUntilEnd() (responses []string) {
	s.t.Helper()
	for {
		response, err := s.receive()
		if errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) {
			return responses
		}
		if err != nil {
			s.t.Fatal(err)
		}
		responses = append(responses, response)
	}
}

// becomeIdle sends a request that is served without an engine.
func (s *clientScenario) becomeIdle() {
	s.t.Helper()
	s.roundTrip(healthRequest)
}

// startRequest sends a request that stays in flight.
func (s *clientScenario) startRequest() {
	s.t.Helper()
	send(s.t, s.client, statementRequest)
	awaitOnLoop(s.t, s.server, "the request to be accepted", func() bool {
		return s.server.counters.Sum("requests.accepted.") == 1
	})
}

// fetchFirstPage buffers a result and requests the first of its two further pages.
func (s *clientScenario) fetchFirstPage() {
	s.t.Helper()
	page := lineclient.Rows{[]byte("a\tb\tc\n")}
	s.onLoop(func() { s.resultPath, _ = s.server.results.add([]lineclient.Rows{page, page, page}, 1) })
	s.roundTrip(s.pageRequest(1))
}

// pageRequest returns the request for a further page of the buffered result.
func (s *clientScenario) pageRequest(number int) string {
	return fmt.Sprintf("GET %s/%d HTTP/1.1\r\n\r\n", s.resultPath, number)
}

// drainAndFinish ends a graceful shutdown. It must be called on the goroutine of the event loop.
func (s *clientScenario) drainAndFinish() {
	s.server.Drain()
	s.server.Finish()
}

// awaitUnregistered waits until the server has no connections.
func (s *clientScenario) awaitUnregistered() {
	s.t.Helper()
	awaitOnLoop(s.t, s.server, "the connection to be unregistered", func() bool {
		return len(s.server.connections) == 0
	})
}

// lastActive returns the time of the connection's latest request or response.
func (s *clientScenario) lastActive() (at time.Duration) {
	s.onLoop(func() { at = s.connection.lastActive })
	return at
}

func (s *clientScenario) closeClient() {
	s.t.Helper()
	if err := s.client.Close(); err != nil {
		s.t.Error(err)
	}
}

// httpCounters returns the HTTP server's counters, without the counter of accepted connections.
func (s *clientScenario) httpCounters() map[string]int {
	s.t.Helper()
	var printed bytes.Buffer
	s.onLoop(func() { s.server.counters.Print(&printed) })
	counters := map[string]int{}
	for line := range strings.Lines(printed.String()) {
		var name string
		var count int
		if _, err := fmt.Sscanf(line, "count %s %d\n", &name, &count); err != nil {
			s.t.Fatal(err)
		}
		if strings.HasPrefix(name, "http.") && name != "http.connections" {
			counters[name] = count
		}
	}
	return counters
}
