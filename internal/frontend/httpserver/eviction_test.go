package httpserver

import (
	"bytes"
	"fmt"
	"io"
	"testing"
	"time"

	"flaxrelay/internal/engine/lineclient"
)

func TestEvictedBefore_PrefersConnectionsWithoutAValidRequest(t *testing.T) {
	youngNew := &connection{lastActive: 9, state: stateNew}
	oldNew := &connection{lastActive: 5, state: stateNew}
	youngIdle := &connection{lastActive: 8, state: stateIdle}
	oldIdle := &connection{lastActive: 1, state: stateIdle}
	order := []*connection{oldNew, youngNew, oldIdle, youngIdle}
	for i, first := range order {
		for j, second := range order {
			if got := first.evictedBefore(second); got != (i < j) {
				t.Errorf("connection %d before %d: %v", i, j, got)
			}
		}
	}
}

// Whether a connection may be evicted depends on its state and on the time since its latest request.
func TestFindVictim_DependsOnStateAndInactivity(t *testing.T) {
	var (
		becomeIdle     = (*clientScenario).becomeIdle
		startRequest   = (*clientScenario).startRequest
		fetchFirstPage = (*clientScenario).fetchFirstPage
	)
	stayNew := func(*clientScenario) {}
	drain := func(s *clientScenario) { s.onLoop(s.server.Drain) }
	for name, test := range map[string]struct {
		prepare  func(s *clientScenario)
		unread   string
		inactive time.Duration
		want     bool
	}{
		"new, just connected":                 {stayNew, "", minOpenTime / 2, false},
		"new":                                 {stayNew, "", minOpenTime, true},
		"new, a part of a request is unread":  {stayNew, partialRequest, minOpenTime, true},
		"idle for a moment":                   {becomeIdle, "", minIdleTime / 2, false},
		"idle":                                {becomeIdle, "", minIdleTime, true},
		"idle, a part of a request is unread": {becomeIdle, partialRequest, minIdleTime, false},
		"in flight":                           {startRequest, "", time.Hour, false},
		"paging":                              {fetchFirstPage, "", time.Hour, false},
		"closing":                             {drain, "", time.Hour, false},
	} {
		t.Run(name, func(t *testing.T) {
			s := newClientScenario(t, Options{})
			test.prepare(s)
			s.onLoopWithUnread(test.unread, func() {
				s.connection.lastActive = s.server.loop.Now() - test.inactive
				if _, victim := s.server.evictor.findVictim(); (victim == s.connection) != test.want {
					t.Errorf("victim: %v, want %v", victim == s.connection, test.want)
				}
			})
		})
	}
}

// A closing connection is not aborted until its last response has been sent: the abort would cut the response off.
func TestFindVictim_ResponseThatWaitsToBeSentIsNotCutOff(t *testing.T) {
	const maxPages = 2000 // more than the kernel's buffers hold
	s := newClientScenario(t, Options{})
	page := lineclient.Rows{bytes.Repeat([]byte("a\tb\tc\n"), 8000)}
	s.onLoop(func() { s.resultPath, _ = s.server.results.add([]lineclient.Rows{page, page}, 1) })
	requested := 0
	for pending := 0; pending == 0 && requested < maxPages; requested++ {
		before := s.lastActive()
		send(t, s.client, s.pageRequest(1))
		awaitCondition(t, "the page to be served", func() bool { return s.lastActive() != before })
		s.onLoop(func() { pending = s.connection.socket.PendingWrite() })
	}
	send(t, s.client, fmt.Sprintf("GET %s/1 HTTP/1.1\r\nConnection: close\r\n\r\n", s.resultPath))
	requested++
	awaitOnLoop(t, s.server, "the close after the last response", func() bool {
		return s.connection.state == stateClosing
	})
	s.onLoop(func() {
		if s.connection.socket.PendingWrite() == 0 {
			t.Error("nothing waits to be sent")
		}
		s.server.evictor.findVictim()
	})
	received, err := io.ReadAll(s.client)
	got := bytes.Count(received, []byte("HTTP/1.1 200 OK"))
	if err != nil || got != requested || !bytes.HasSuffix(received, []byte("]}")) {
		t.Errorf("%d of %d responses, then %v", got, requested, err)
	}
}
