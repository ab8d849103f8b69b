package httpserver

import (
	"net"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

const (
	// partialRequest is the start of healthRequest.
	partialRequest = "GET /heal"
	// closingRequest is a request after which its client wants the connection closed.
	closingRequest = "GET /health HTTP/1.1\r\nConnection: close\r\n\r\n"
	// malformedRequest has a header field without a colon.
	malformedRequest = "GET /health HTTP/1.1\r\nHost\r\n\r\n"
)

// In every state and for every way in which a connection can end, its client receives all responses, and one reason for
// the close is counted.
func TestConnection_EndsWithAllResponsesAndOneReason(t *testing.T) {
	const shortReadTimeout = 50 * time.Millisecond
	var (
		becomeIdle     = (*clientScenario).becomeIdle
		startRequest   = (*clientScenario).startRequest
		fetchFirstPage = (*clientScenario).fetchFirstPage
	)
	for name, test := range map[string]struct {
		options      Options
		prepare      func(s *clientScenario) // brings the new connection to the state of the case
		run          func(s *clientScenario)
		responses    []string // the responses that are read after prepare and run
		wantCounters map[string]int
	}{
		"new, closed by its client": {
			run:          (*clientScenario).closeClient,
			wantCounters: map[string]int{"http.closed.client": 1},
		},
		"new, broken": {
			run: func(s *clientScenario) {
				if err := s.client.(*net.TCPConn).SetLinger(0); err != nil { // so that Close resets the connection
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
		"new, request followed by bytes that can't be a request": {
			run:          func(s *clientScenario) { send(s.t, s.client, healthRequest+"no request") },
			responses:    []string{"400 close"},
			wantCounters: map[string]int{"http.closed.invalid-request": 1, "http.bad-requests": 1},
		},
		"new, nothing arrives in time": {
			options:      Options{ReadTimeout: shortReadTimeout},
			run:          func(*clientScenario) {},
			wantCounters: map[string]int{"http.closed.read-timeout": 1, "http.read-timeouts": 1},
		},
		"new, only a part of a request arrives in time": {
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
			run:          func(s *clientScenario) { s.onLoop(s.connection.evict) },
			wantCounters: map[string]int{"http.closed.evicted": 1, "http.evicted": 1},
		},
		"new, evicted with a part of a request unread": {
			run:          func(s *clientScenario) { s.onLoopWithUnread(partialRequest, s.connection.evict) },
			responses:    []string{"503 close"},
			wantCounters: map[string]int{"http.closed.evicted": 1, "http.evicted": 1},
		},
		"new, evicted after OnData was called for a part of a request": {
			run: func(s *clientScenario) {
				s.onLoopWithUnread(partialRequest, func() {})
				s.onLoop(s.connection.evict)
			},
			responses:    []string{"503 close"},
			wantCounters: map[string]int{"http.closed.evicted": 1, "http.evicted": 1},
		},
		"new, evicted with requests unread": {
			run: func(s *clientScenario) {
				s.onLoopWithUnread(healthRequest+statementRequest, s.connection.evict)
			},
			responses:    []string{"503", "503 close"},
			wantCounters: map[string]int{"http.closed.evicted": 1, "http.evicted": 1},
		},
		"new, evicted with requests and a part of one unread": {
			run: func(s *clientScenario) {
				s.onLoopWithUnread(healthRequest+healthRequest+partialRequest, s.connection.evict)
			},
			responses:    []string{"503", "503", "503 close"},
			wantCounters: map[string]int{"http.closed.evicted": 1, "http.evicted": 1},
		},
		"new, evicted with a request unread after which its client wants the close": {
			run: func(s *clientScenario) {
				s.onLoopWithUnread(closingRequest+healthRequest, s.connection.evict)
			},
			responses:    []string{"503 close"},
			wantCounters: map[string]int{"http.closed.evicted": 1, "http.evicted": 1},
		},
		"new, evicted with an invalid request unread": {
			run: func(s *clientScenario) {
				s.onLoopWithUnread(healthRequest+malformedRequest, s.connection.evict)
			},
			responses: []string{"503", "400 close"},
			wantCounters: map[string]int{
				"http.closed.invalid-request": 1, "http.bad-requests": 1, "http.evicted": 1,
			},
		},
		"new, evicted with a part of a request unread, then drained and finished": {
			run: func(s *clientScenario) {
				s.onLoopWithUnread(partialRequest, func() {
					s.connection.evict()
					s.drainAndFinish()
				})
			},
			responses:    []string{"503 close"},
			wantCounters: map[string]int{"http.closed.evicted": 1, "http.evicted": 1},
		},
		"idle, past the longest idle time": {
			prepare: becomeIdle,
			run: func(s *clientScenario) {
				s.onLoop(func() {
					s.connection.lastActive -= maxIdleTime + time.Millisecond
					s.server.evictor.closeIdle()
				})
			},
			wantCounters: map[string]int{"http.closed.idle": 1, "http.idle-closed": 1},
		},
		"idle, drained": {
			prepare:      becomeIdle,
			run:          func(s *clientScenario) { s.onLoop(s.server.Drain) },
			wantCounters: map[string]int{"http.closed.shutdown": 1},
		},
		"idle, drained with a part of a request unread": {
			prepare: becomeIdle,
			run: func(s *clientScenario) {
				s.onLoopWithUnread(partialRequest, s.server.Drain)
				send(s.t, s.client, strings.TrimPrefix(healthRequest, partialRequest))
			},
			responses:    []string{"200 close"},
			wantCounters: map[string]int{"http.closed.response": 1},
		},
		"idle, drained with requests unread": {
			prepare:      becomeIdle,
			run:          func(s *clientScenario) { s.onLoopWithUnread(healthRequest+healthRequest, s.server.Drain) },
			responses:    []string{"200", "200 close"},
			wantCounters: map[string]int{"http.closed.response": 1},
		},
		"idle, evicted": {
			prepare:      becomeIdle,
			run:          func(s *clientScenario) { s.onLoop(s.connection.evict) },
			wantCounters: map[string]int{"http.closed.evicted": 1, "http.evicted": 1},
		},
		"idle, not evicted with a request unread": {
			prepare: becomeIdle,
			run: func(s *clientScenario) {
				s.onLoopWithUnread(healthRequest, s.connection.evict)
				if got, err := s.receive(); got != "200" {
					s.t.Errorf("got %q, %v", got, err)
				}
				s.closeClient()
			},
			wantCounters: map[string]int{"http.closed.client": 1},
		},
		"idle, finished with a part of a request unread": {
			prepare:      becomeIdle,
			run:          func(s *clientScenario) { s.onLoopWithUnread(partialRequest, s.drainAndFinish) },
			responses:    []string{"503 close"},
			wantCounters: map[string]int{"http.closed.shutdown": 1},
		},
		"idle, finished after OnData was called for a part of a request": {
			prepare: becomeIdle,
			run: func(s *clientScenario) {
				s.onLoopWithUnread(partialRequest, func() {})
				s.onLoop(s.drainAndFinish)
			},
			responses:    []string{"503 close"},
			wantCounters: map[string]int{"http.closed.shutdown": 1},
		},
		"idle, finished and never drained": {
			prepare:      becomeIdle,
			run:          func(s *clientScenario) { s.onLoop(s.server.Finish) },
			wantCounters: map[string]int{"http.closed.shutdown": 1},
		},
		"idle, finished with a request unread, and drained later": {
			prepare: becomeIdle,
			run: func(s *clientScenario) {
				s.onLoopWithUnread(statementRequest, func() {
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
		"idle, only a part of a request arrives in time": {
			options: Options{ReadTimeout: shortReadTimeout},
			prepare: becomeIdle,
			run: func(s *clientScenario) {
				time.Sleep(2 * shortReadTimeout) // there is no time limit between two requests
				send(s.t, s.client, partialRequest)
			},
			responses: []string{"408 close"},
			wantCounters: map[string]int{
				"http.closed.invalid-request": 1, "http.bad-requests": 1, "http.read-timeouts": 1,
			},
		},
		"in flight, drained and completed": {
			prepare: startRequest,
			run: func(s *clientScenario) {
				s.onLoop(func() {
					s.server.Drain()
					s.server.dispatcher.CompleteAll()
				})
			},
			responses:    []string{"503 close"},
			wantCounters: map[string]int{"http.closed.response": 1},
		},
		"in flight, drained, completed and finished with a part of the next request unread": {
			prepare: startRequest,
			run: func(s *clientScenario) {
				s.onLoopWithUnread(partialRequest, func() {
					s.server.Drain()
					s.server.dispatcher.CompleteAll()
					s.server.Finish()
				})
			},
			responses:    []string{"503", "503 close"},
			wantCounters: map[string]int{"http.closed.shutdown": 1},
		},
		"in flight, followed by bytes that can't be a request": {
			prepare:      startRequest,
			run:          func(s *clientScenario) { send(s.t, s.client, "no request") },
			responses:    []string{"400 close"},
			wantCounters: map[string]int{"http.closed.invalid-request": 1, "http.bad-requests": 1},
		},
		"in flight, closed by its client": {
			prepare:      startRequest,
			run:          (*clientScenario).closeClient,
			wantCounters: map[string]int{"http.closed.client": 1},
		},
		"paging, drained": {
			prepare: fetchFirstPage,
			run: func(s *clientScenario) {
				s.onLoop(s.server.Drain)
				s.roundTrip(s.pageRequest(1)) // the same page again: it names a further page
				send(s.t, s.client, s.pageRequest(2))
			},
			responses:    []string{"200 close"},
			wantCounters: map[string]int{"http.closed.response": 1},
		},
		"paging, drained, result released": {
			prepare: fetchFirstPage,
			run: func(s *clientScenario) {
				s.onLoop(s.server.Drain)
				send(s.t, s.client, "DELETE "+s.resultPath+"/2 HTTP/1.1\r\n\r\n")
			},
			responses:    []string{"200 close"},
			wantCounters: map[string]int{"http.closed.response": 1},
		},
		"paging, finished": {
			prepare:      fetchFirstPage,
			run:          func(s *clientScenario) { s.onLoop(s.drainAndFinish) },
			wantCounters: map[string]int{"http.closed.shutdown": 1},
		},
		"paging, finished with a part of a request unread": {
			prepare:      fetchFirstPage,
			run:          func(s *clientScenario) { s.onLoopWithUnread(partialRequest, s.drainAndFinish) },
			responses:    []string{"503 close"},
			wantCounters: map[string]int{"http.closed.shutdown": 1},
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newClientScenario(t, test.options)
			if test.prepare != nil {
				test.prepare(s)
			}
			test.run(s)
			endedByClient := test.wantCounters["http.closed.client"]+test.wantCounters["http.closed.error"] > 0
			if !endedByClient {
				if diff := cmp.Diff(test.responses, s.receiveUntilEnd()); diff != "" {
					t.Errorf("responses (-want +got):\n%s", diff)
				}
				s.closeClient()
			}
			s.awaitUnregistered()
			if diff := cmp.Diff(test.wantCounters, s.httpCounters()); diff != "" {
				t.Errorf("counters (-want +got):\n%s", diff)
			}
			s.onLoop(func() {
				if n := s.server.dispatcher.Pending(); n != 0 {
					t.Errorf("%d requests are pending after their connection was closed", n)
				}
			})
		})
	}
}

// A client that disconnects while its request is in flight may send the request again with the same id.
func TestConnection_IDOfAnAbandonedRequestCanBeUsedAgain(t *testing.T) {
	s := newClientScenario(t, Options{})
	s.startRequest()
	s.closeClient()
	s.awaitUnregistered()
	send(t, connect(t, s.server), statementRequest)
	awaitOnLoop(t, s.server, "the second request to be accepted", func() bool {
		return s.server.counters.Sum("requests.accepted.") == 2
	})
}

// If a client sends requests and disconnects before the first of them is read, none is accepted.
func TestConnection_RequestsOfADisconnectedClientAreDropped(t *testing.T) {
	s := newClientScenario(t, Options{})
	s.onLoop(func() {
		send(t, s.client, statementRequest+statementRequest)
		s.closeClient()
		awaitCondition(t, "the end of the connection", s.connection.socket.Disconnected)
	})
	// Disconnected is true before OnClosed is called, and OnData is called before OnClosed: once the connection is
	// unregistered, all requests have been handled.
	s.awaitUnregistered()
	s.onLoop(func() {
		if n := s.server.counters.Sum("requests.accepted."); n != 0 {
			t.Errorf("%d requests of a disconnected client were accepted", n)
		}
	})
}

// An attempt to close a connection without a response while its request is in flight is counted as a violation.
func TestCloseUnused_LeavesAConnectionOpenWhileItsRequestIsInFlight(t *testing.T) {
	s := newClientScenario(t, Options{})
	s.startRequest()
	s.onLoop(func() {
		if s.connection.closeUnused(closeIdleTimeout) {
			t.Error("the connection was closed before its request had a response")
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
