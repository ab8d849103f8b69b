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

	"github.com/google/go-cmp/cmp"
)

const (
	// partialRequest is the start of a request.
	partialRequest = "GET /heal"
	// closingRequest is a request after which its client wants the connection closed.
	closingRequest = "GET /health HTTP/1.1\r\nConnection: close\r\n\r\n"
	// malformedRequest has a header field without a colon.
	malformedRequest = "GET /health HTTP/1.1\r\nHost\r\n\r\n"
)

// clientScenario is a server with one client and its connection.
type clientScenario struct {
	t      *testing.T
	server *Server
	client net.Conn
	in     *bufio.Reader
	c      *connection
}

func newClientScenario(t *testing.T, options Options) *clientScenario {
	t.Helper()
	server := startTestServer(t, options)
	client := connect(t, server)
	return &clientScenario{
		t: t, server: server, client: client, in: bufio.NewReader(client), c: firstConnection(server),
	}
}

// onLoop calls do on the goroutine of the event loop.
func (s *clientScenario) onLoop(do func()) { eventlooptest.Do(s.server.loop, do) }

// deliver has the poller read text before the server is called for it. It runs on the goroutine of the
// event loop.
func (s *clientScenario) deliver(text string) {
	s.t.Helper()
	deliver(s.t, s.server, s.client, text)
}

// roundTrip sends a request and returns its response: the status, and "close" if the response
// announces the end of the connection.
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
	response, err := http.ReadResponse(s.in, nil)
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

// startRequest sends a request that stays in flight.
func (s *clientScenario) startRequest() {
	s.t.Helper()
	send(s.t, s.client, statementRequest)
	awaitOnLoop(s.t, s.server, "the request to be accepted", func() bool {
		return s.server.counters.Sum("requests.accepted.") == 1
	})
}

// bufferResult buffers a result of three pages and returns its path.
func (s *clientScenario) bufferResult() (path string) {
	s.t.Helper()
	page := lineclient.Rows{[]byte("a\tb\tc\n")}
	s.onLoop(func() { path, _ = s.server.results.add([]lineclient.Rows{page, page, page}, 1) })
	return path
}

func (s *clientScenario) closeClient() {
	s.t.Helper()
	if err := s.client.Close(); err != nil {
		s.t.Error(err)
	}
}

// httpCounters returns the server's own counters, without that of accepted connections.
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

// However a connection ends, and from whichever state, its client has received each response, and one reason is
// counted.
func TestConnection_EndsWithAllResponsesAndOneReason(t *testing.T) {
	const shortReadTimeout = 50 * time.Millisecond
	for name, test := range map[string]struct {
		options      Options
		run          func(s *clientScenario)
		responses    []string // after those that run receives
		wantCounters map[string]int
	}{
		"new, closed by its client": {
			run:          (*clientScenario).closeClient,
			wantCounters: map[string]int{"http.closed.client": 1},
		},
		"new, broken": {
			run: func(s *clientScenario) {
				if err := s.client.(*net.TCPConn).SetLinger(0); err != nil { // Close resets the connection
					s.t.Error(err)
				}
				s.closeClient()
			},
			wantCounters: map[string]int{"http.closed.error": 1},
		},
		"new, client wants the close": {
			run:          func(s *clientScenario) { send(s.t, s.client, closingRequest+healthRequest) },
			responses:    []string{"200 close"},
			wantCounters: map[string]int{"http.closed.response": 1},
		},
		"new, invalid request": {
			run:          func(s *clientScenario) { send(s.t, s.client, malformedRequest+healthRequest) },
			responses:    []string{"400 close"},
			wantCounters: map[string]int{"http.closed.invalid-request": 1, "http.bad-requests": 1},
		},
		"new, request followed by what is no request": {
			run:          func(s *clientScenario) { send(s.t, s.client, healthRequest+"no request") },
			responses:    []string{"400 close"},
			wantCounters: map[string]int{"http.closed.invalid-request": 1, "http.bad-requests": 1},
		},
		"new, nothing arrives in time": {
			options:      Options{ReadTimeout: shortReadTimeout},
			run:          func(*clientScenario) {},
			wantCounters: map[string]int{"http.closed.read-timeout": 1, "http.read-timeouts": 1},
		},
		"new, a part arrives in time": {
			options:   Options{ReadTimeout: shortReadTimeout},
			run:       func(s *clientScenario) { send(s.t, s.client, partialRequest) },
			responses: []string{"408 close"},
			wantCounters: map[string]int{
				"http.closed.invalid-request": 1, "http.bad-requests": 1, "http.read-timeouts": 1,
			},
		},
		"new, drained": {
			run:          func(s *clientScenario) { s.onLoop(s.server.Drain) },
			wantCounters: map[string]int{"http.closed.shutdown": 1},
		},
		"new, evicted": {
			run:          func(s *clientScenario) { s.onLoop(s.c.evict) },
			wantCounters: map[string]int{"http.closed.evicted": 1, "http.evicted": 1},
		},
		"new, evicted over a part of a request": {
			run: func(s *clientScenario) {
				s.onLoop(func() {
					s.deliver(partialRequest)
					s.c.evict()
				})
			},
			responses:    []string{"503 close"},
			wantCounters: map[string]int{"http.closed.evicted": 1, "http.evicted": 1},
		},
		"new, evicted over a part of a request that was handled before": {
			run: func(s *clientScenario) {
				s.onLoop(func() { s.deliver(partialRequest) })
				s.onLoop(s.c.evict)
			},
			responses:    []string{"503 close"},
			wantCounters: map[string]int{"http.closed.evicted": 1, "http.evicted": 1},
		},
		"new, evicted over requests": {
			run: func(s *clientScenario) {
				s.onLoop(func() {
					s.deliver(healthRequest + statementRequest)
					s.c.evict()
				})
			},
			responses:    []string{"503", "503 close"},
			wantCounters: map[string]int{"http.closed.evicted": 1, "http.evicted": 1},
		},
		"new, evicted over requests and a part of one": {
			run: func(s *clientScenario) {
				s.onLoop(func() {
					s.deliver(healthRequest + healthRequest + partialRequest)
					s.c.evict()
				})
			},
			responses:    []string{"503", "503", "503 close"},
			wantCounters: map[string]int{"http.closed.evicted": 1, "http.evicted": 1},
		},
		"new, evicted over a request that wants the close": {
			run: func(s *clientScenario) {
				s.onLoop(func() {
					s.deliver(closingRequest + healthRequest)
					s.c.evict()
				})
			},
			responses:    []string{"503 close"},
			wantCounters: map[string]int{"http.closed.evicted": 1, "http.evicted": 1},
		},
		"new, evicted over an invalid request": {
			run: func(s *clientScenario) {
				s.onLoop(func() {
					s.deliver(healthRequest + malformedRequest)
					s.c.evict()
				})
			},
			responses: []string{"503", "400 close"},
			wantCounters: map[string]int{
				"http.closed.invalid-request": 1, "http.bad-requests": 1, "http.evicted": 1,
			},
		},
		"new, evicted, then drained and finished over a part of a request": {
			run: func(s *clientScenario) {
				s.onLoop(func() {
					s.deliver(partialRequest)
					s.c.evict()
					s.server.Drain()
					s.server.Finish()
				})
			},
			responses:    []string{"503 close"},
			wantCounters: map[string]int{"http.closed.evicted": 1, "http.evicted": 1},
		},
		"idle, past the longest idle time": {
			run: func(s *clientScenario) {
				s.roundTrip(healthRequest)
				s.onLoop(func() {
					s.c.lastActive -= maxIdleTime + time.Millisecond
					s.server.evictor.closeIdle()
				})
			},
			wantCounters: map[string]int{"http.closed.idle": 1, "http.idle-closed": 1},
		},
		"idle, drained": {
			run: func(s *clientScenario) {
				s.roundTrip(healthRequest)
				s.onLoop(s.server.Drain)
			},
			wantCounters: map[string]int{"http.closed.shutdown": 1},
		},
		"idle, drained over a part of a request": {
			run: func(s *clientScenario) {
				s.roundTrip(healthRequest)
				s.onLoop(func() {
					s.deliver(partialRequest)
					s.server.Drain()
				})
				send(s.t, s.client, strings.TrimPrefix(healthRequest, partialRequest))
			},
			responses:    []string{"200 close"},
			wantCounters: map[string]int{"http.closed.response": 1},
		},
		"idle, drained over requests": {
			run: func(s *clientScenario) {
				s.roundTrip(healthRequest)
				s.onLoop(func() {
					s.deliver(healthRequest + healthRequest)
					s.server.Drain()
				})
			},
			responses:    []string{"200", "200 close"},
			wantCounters: map[string]int{"http.closed.response": 1},
		},
		"idle, evicted": {
			run: func(s *clientScenario) {
				s.roundTrip(healthRequest)
				s.onLoop(s.c.evict)
			},
			wantCounters: map[string]int{"http.closed.evicted": 1, "http.evicted": 1},
		},
		"idle, not evicted over a request": {
			run: func(s *clientScenario) {
				s.roundTrip(healthRequest)
				s.onLoop(func() {
					s.deliver(healthRequest)
					s.c.evict()
				})
				if got, err := s.receive(); got != "200" {
					s.t.Errorf("got %q, %v", got, err)
				}
				s.closeClient()
			},
			wantCounters: map[string]int{"http.closed.client": 1},
		},
		"idle, finished over a part of a request": {
			run: func(s *clientScenario) {
				s.roundTrip(healthRequest)
				s.onLoop(func() {
					s.deliver(partialRequest)
					s.server.Drain()
					s.server.Finish()
				})
			},
			responses:    []string{"503 close"},
			wantCounters: map[string]int{"http.closed.shutdown": 1},
		},
		"idle, finished over a part of a request that was handled before": {
			run: func(s *clientScenario) {
				s.roundTrip(healthRequest)
				s.onLoop(func() { s.deliver(partialRequest) })
				s.onLoop(func() {
					s.server.Drain()
					s.server.Finish()
				})
			},
			responses:    []string{"503 close"},
			wantCounters: map[string]int{"http.closed.shutdown": 1},
		},
		"idle, finished without a drain": {
			run: func(s *clientScenario) {
				s.roundTrip(healthRequest)
				s.onLoop(s.server.Finish)
			},
			wantCounters: map[string]int{"http.closed.shutdown": 1},
		},
		"idle, finished over a request without a drain": {
			run: func(s *clientScenario) {
				s.roundTrip(healthRequest)
				s.onLoop(func() {
					s.deliver(statementRequest)
					s.server.dispatcher.CompleteAll()
					s.server.Finish()
				})
				if got, err := s.receive(); got != "503" {
					s.t.Errorf("got %q, %v", got, err)
				}
				s.onLoop(s.server.Drain)
			},
			wantCounters: map[string]int{"http.closed.shutdown": 1},
		},
		"idle, a part of a request arrives in time": {
			options: Options{ReadTimeout: shortReadTimeout},
			run: func(s *clientScenario) {
				s.roundTrip(healthRequest)
				time.Sleep(2 * shortReadTimeout) // no time limit holds between two requests
				send(s.t, s.client, partialRequest)
			},
			responses: []string{"408 close"},
			wantCounters: map[string]int{
				"http.closed.invalid-request": 1, "http.bad-requests": 1, "http.read-timeouts": 1,
			},
		},
		"in flight, drained and completed": {
			run: func(s *clientScenario) {
				s.startRequest()
				s.onLoop(func() {
					s.server.Drain()
					s.server.dispatcher.CompleteAll()
				})
			},
			responses:    []string{"503 close"},
			wantCounters: map[string]int{"http.closed.response": 1},
		},
		"in flight, drained and completed over a part of the next request": {
			run: func(s *clientScenario) {
				s.startRequest()
				s.onLoop(func() {
					s.deliver(partialRequest)
					s.server.Drain()
					s.server.dispatcher.CompleteAll()
					s.server.Finish()
				})
			},
			responses:    []string{"503", "503 close"},
			wantCounters: map[string]int{"http.closed.shutdown": 1},
		},
		"in flight, followed by what is no request": {
			run: func(s *clientScenario) {
				s.startRequest()
				send(s.t, s.client, "no request")
			},
			responses:    []string{"400 close"},
			wantCounters: map[string]int{"http.closed.invalid-request": 1, "http.bad-requests": 1},
		},
		"in flight, closed by its client": {
			run: func(s *clientScenario) {
				s.startRequest()
				s.closeClient()
			},
			wantCounters: map[string]int{"http.closed.client": 1},
		},
		"paging, drained": {
			run: func(s *clientScenario) {
				path := s.bufferResult()
				s.roundTrip("GET " + path + "/1 HTTP/1.1\r\n\r\n")
				s.onLoop(s.server.Drain)
				s.roundTrip("GET " + path + "/1 HTTP/1.1\r\n\r\n") // again: it names a further page
				send(s.t, s.client, "GET "+path+"/2 HTTP/1.1\r\n\r\n")
			},
			responses:    []string{"200 close"},
			wantCounters: map[string]int{"http.closed.response": 1},
		},
		"paging, drained, result released": {
			run: func(s *clientScenario) {
				path := s.bufferResult()
				s.roundTrip("GET " + path + "/1 HTTP/1.1\r\n\r\n")
				s.onLoop(s.server.Drain)
				send(s.t, s.client, "DELETE "+path+"/2 HTTP/1.1\r\n\r\n")
			},
			responses:    []string{"200 close"},
			wantCounters: map[string]int{"http.closed.response": 1},
		},
		"paging, finished": {
			run: func(s *clientScenario) {
				s.roundTrip("GET " + s.bufferResult() + "/1 HTTP/1.1\r\n\r\n")
				s.onLoop(func() {
					s.server.Drain()
					s.server.Finish()
				})
			},
			wantCounters: map[string]int{"http.closed.shutdown": 1},
		},
		"paging, finished over a part of a request": {
			run: func(s *clientScenario) {
				s.roundTrip("GET " + s.bufferResult() + "/1 HTTP/1.1\r\n\r\n")
				s.onLoop(func() {
					s.deliver(partialRequest)
					s.server.Drain()
					s.server.Finish()
				})
			},
			responses:    []string{"503 close"},
			wantCounters: map[string]int{"http.closed.shutdown": 1},
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newClientScenario(t, test.options)
			test.run(s)
			if _, closedByClient := test.wantCounters["http.closed.client"]; !closedByClient &&
				test.wantCounters["http.closed.error"] == 0 {
				if diff := cmp.Diff(test.responses, s.receiveUntilEnd()); diff != "" {
					t.Errorf("responses (-want +got):\n%s", diff)
				}
				s.closeClient()
			}
			awaitOnLoop(t, s.server, "the connection to be unregistered", func() bool {
				return len(s.server.connections) == 0
			})
			if diff := cmp.Diff(test.wantCounters, s.httpCounters()); diff != "" {
				t.Errorf("counters (-want +got):\n%s", diff)
			}
			s.onLoop(func() {
				if n := s.server.dispatcher.Pending(); n != 0 {
					t.Errorf("%d requests are pending after the end of their connection", n)
				}
			})
		})
	}
}

// A client disconnects while its request is in flight, and sends the request again: its id is free.
func TestConnection_IDOfAnAbandonedRequestCanBeUsedAgain(t *testing.T) {
	s := newClientScenario(t, Options{})
	s.startRequest()
	s.closeClient()
	awaitOnLoop(t, s.server, "the connection to be unregistered", func() bool { return len(s.server.connections) == 0 })
	send(t, connect(t, s.server), statementRequest)
	awaitOnLoop(t, s.server, "the second request to be accepted", func() bool {
		return s.server.counters.Sum("requests.accepted.") == 2
	})
}

// A close without a response over a request in flight is prevented and counted as a violation.
func TestCloseUnused_StaysOpenWhileARequestIsInFlight(t *testing.T) {
	s := newClientScenario(t, Options{})
	s.startRequest()
	s.onLoop(func() {
		if s.c.closeUnused(closeIdleTimeout) {
			t.Error("the connection was closed over its request")
		}
		if n := s.server.counters.Sum("invariants.violated."); n != 1 {
			t.Errorf("%d violations are counted, want 1", n)
		}
		s.server.dispatcher.CompleteAll()
	})
	if got, err := s.receive(); got != "503" {
		t.Errorf("got %q, %v", got, err)
	}
}

// Which connection may be evicted, by its state and the time since its latest request.
func TestFindVictim_DependsOnStateAndInactivity(t *testing.T) {
	newClient := func(*clientScenario) {}
	served := func(s *clientScenario) { s.roundTrip(healthRequest) }
	fetching := func(s *clientScenario) { s.roundTrip("GET " + s.bufferResult() + "/1 HTTP/1.1\r\n\r\n") }
	for name, test := range map[string]struct {
		prepare  func(s *clientScenario)
		arrived  string // read by the poller, and not yet handled
		inactive time.Duration
		want     bool
	}{
		"new, just connected":      {newClient, "", minSilentTime / 2, false},
		"new":                      {newClient, "", minSilentTime, true},
		"new, a part has arrived":  {newClient, partialRequest, minSilentTime, true},
		"idle for a moment":        {served, "", minIdleTime / 2, false},
		"idle":                     {served, "", minIdleTime, true},
		"idle, a part has arrived": {served, partialRequest, minIdleTime, false},
		"in flight":                {(*clientScenario).startRequest, "", time.Hour, false},
		"paging":                   {fetching, "", time.Hour, false},
		"closing":                  {func(s *clientScenario) { s.onLoop(s.server.Drain) }, "", time.Hour, false},
	} {
		t.Run(name, func(t *testing.T) {
			s := newClientScenario(t, Options{})
			test.prepare(s)
			s.onLoop(func() {
				if test.arrived != "" {
					s.deliver(test.arrived)
				}
				s.c.lastActive = s.server.loop.Now() - test.inactive
				if _, victim := s.server.evictor.findVictim(); (victim == s.c) != test.want {
					t.Errorf("victim: %v, want %v", victim == s.c, test.want)
				}
			})
		})
	}
}
