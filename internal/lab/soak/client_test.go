package soak

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"flaxrelay/internal/golden"
	"flaxrelay/internal/tcptest"
)

// newTestRun returns a run without processes. Its front end has the given address.
func newTestRun(addr string) *run {
	r := &run{history: newHistory(), settings: runSettings{retryAfter: true}}
	r.frontEnds = []*frontEnd{{run: r, name: "n1", addr: addr, ready: true}}
	return r
}

// violatedRules returns the rules of the violations that were detected during the run.
func violatedRules(r *run) (rules []Rule) {
	for _, v := range r.history.violations {
		rules = append(rules, v.Rule)
	}
	return rules
}

// The run's seed and the client's number determine the requests of a client.
func TestNewRequest_FollowsFromTheSeed(t *testing.T) {
	c := &client{run: &run{options: Options{Seed: 0x12345}}, number: 3, random: rand.New(rand.NewPCG(0x12345, 4))}
	var text strings.Builder
	for range 6 {
		r, sent := c.newRequest()
		fmt.Fprintf(&text, "%s %s %v\n%s\n\n", r.id, r.class, r.wait, sent)
	}
	golden.Compare(t, "testdata/requests.golden", []byte(text.String()))
}

// The response determines the outcome of a request and the violated rules.
func TestReceive_ClassifiesTheResponse(t *testing.T) {
	const id = "000000000000000a" // a request whose result has two pages
	response := func(status, header, body string) string {
		length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
		return "HTTP/1.1 " + status + "\r\n" + header + length + "\r\n" + body
	}
	result := func(rows ...string) string {
		return response("200 OK", "", `{"result":[[`+strings.Join(rows, `],[`)+`]]}`)
	}
	first := `"` + id + `","0","2"`
	second := `"` + id + `","1","2"`
	firstPage := response("200 OK", "", `{"more":"/more","result":[[`+first+`]]}`)
	const retryAfter = "Srv-Wait-Ms: 5\r\n"
	incomplete := []Rule{RuleCompleteResult}
	noRetryAfter := []Rule{RuleRetryAfter}
	for _, c := range []struct {
		name, responses string
		want            outcome
		violated        []Rule
		fails           bool
	}{
		{name: "complete result", responses: result(first, second), want: outcomeServed},
		{name: "complete result in two pages", responses: firstPage + result(second), want: outcomeServed},
		{name: "half a result", responses: result(first), want: outcomeServed, violated: incomplete},
		{name: "rows out of order", responses: result(second, first), want: outcomeServed, violated: incomplete},
		{
			name: "rows of another request", responses: result(`"x","0","2"`, `"x","1","2"`),
			want: outcomeServed, violated: incomplete,
		},
		{name: "short row", responses: result(`"`+id+`"`, second), want: outcomeServed, violated: incomplete},
		{name: "503 with Retry-After", responses: response("503 Busy", retryAfter, "{}"), want: outcomeRejected},
		{
			name: "503 without Retry-After", responses: response("503 Busy", "", "{}"),
			want: outcomeRejected, violated: noRetryAfter,
		},
		{name: "429 with Retry-After", responses: response("429 Busy", retryAfter, "{}"), want: outcomeRejected},
		{
			name: "429 without Retry-After", responses: response("429 Busy", "", "{}"),
			want: outcomeRejected, violated: noRetryAfter,
		},
		{
			name: "busy with Retry-After", responses: response("200 OK", retryAfter, `{"fault":"Busy"}`),
			want: outcomeRejected,
		},
		{
			name: "busy without Retry-After", responses: response("200 OK", "", `{"fault":"Busy"}`),
			want: outcomeRejected, violated: noRetryAfter,
		},
		{name: "fault", responses: response("200 OK", "", `{"fault":"Broken"}`), want: outcomeFailed},
		{name: "500", responses: response("500 Broken", "", "{}"), want: outcomeFailed},
		{name: "no JSON", responses: response("200 OK", "", "{"), fails: true},
		{name: "truncated", responses: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n{", fails: true},
		{name: "nothing", responses: "", fails: true},
		{
			name: "pages without end", fails: true,
			responses: strings.Repeat(response("200 OK", "", `{"more":"/more"}`), maxPages),
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			listener := tcptest.Listen(t, tcptest.AnyLoopbackPort)
			go tcptest.Serve(listener, func(conn net.Conn) {
				_, _ = io.WriteString(conn, c.responses)
				_ = conn.(*net.TCPConn).CloseWrite()
				_, _ = io.Copy(io.Discard, conn)
			})
			r := newTestRun(listener.Addr().String())
			client := &client{run: r, random: rand.New(rand.NewPCG(1, 1))}
			if !client.connect() {
				t.Fatal("no connection")
			}
			defer client.disconnect()
			request := &request{id: id, sentAt: time.Now(), wait: 5 * time.Second}
			err := client.receive(request)
			if (err != nil) != c.fails || request.outcome != c.want || !slices.Equal(violatedRules(r), c.violated) {
				t.Errorf("%v, outcome %q, violated %q, want %+v", err, request.outcome, violatedRules(r), c)
			}
		})
	}
}

// A rejection without Retry-After is allowed if the settings do not require Retry-After.
func TestReceive_RequiresRetryAfterOnlyIfConfigured(t *testing.T) {
	r := newTestRun("")
	r.settings.retryAfter = false
	request := &request{id: "a"}
	c := &client{run: r}
	c.classifyResponse(request, &http.Response{StatusCode: http.StatusServiceUnavailable}, responseBody{}, nil)
	if request.outcome != outcomeRejected || violatedRules(r) != nil {
		t.Errorf("outcome %q, violated %q", request.outcome, violatedRules(r))
	}
}

// A request without a response is lost, unless its front end was killed.
func TestClassifyMissingResponse_ExcusesOnlyAKill(t *testing.T) {
	sentAt := time.Now()
	for _, c := range []struct {
		name  string
		kills []time.Time
		want  outcome
	}{
		{"no kill", nil, outcomeLost},
		{"killed later", []time.Time{sentAt.Add(time.Hour)}, outcomeLost},
		{"killed over a second before", []time.Time{sentAt.Add(-1001 * time.Millisecond)}, outcomeLost},
		{"killed a second before", []time.Time{sentAt.Add(-time.Second)}, outcomeExcused},
		{"killed at once", []time.Time{sentAt}, outcomeExcused},
	} {
		r := newTestRun("")
		r.frontEnds[0].kills = c.kills
		request := &request{id: "a", sentAt: sentAt}
		(&client{run: r, target: r.frontEnds[0]}).classifyMissingResponse(request, io.EOF)
		if request.outcome != c.want {
			t.Errorf("%s: outcome %q, want %q", c.name, request.outcome, c.want)
		}
	}
}

// A request on an idle connection that the front end has closed is sent again once, unless the front end was
// killed.
func TestSendRequest_ResendsAfterAnIdleClose(t *testing.T) {
	for _, c := range []struct {
		name           string
		idleConnection bool // the client has a connection that the server has closed
		killed         bool
		unanswered     bool // the server closes the new connection without a response
		want           outcome
		connections    int
	}{
		{name: "new connection", want: outcomeFailed, connections: 1},
		{name: "new connection closed", unanswered: true, want: outcomeLost, connections: 1},
		{name: "idle connection closed", idleConnection: true, want: outcomeFailed, connections: 2},
		{
			name: "idle connection closed by a kill", idleConnection: true, killed: true,
			want: outcomeExcused, connections: 1,
		},
		{
			name: "idle and new connection closed", idleConnection: true, unanswered: true,
			want: outcomeLost, connections: 2,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			var connections atomic.Int32
			idleClosed := make(chan struct{})
			listener := tcptest.Listen(t, tcptest.AnyLoopbackPort)
			go tcptest.Serve(listener, func(conn net.Conn) {
				if connections.Add(1) == 1 && c.idleConnection {
					_ = conn.Close()
					close(idleClosed)
					return
				}
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil && !c.unanswered {
					_, _ = io.WriteString(conn, "HTTP/1.1 500 Broken\r\nContent-Length: 2\r\n\r\n{}")
					_, _ = io.Copy(io.Discard, conn)
				}
			})
			r := newTestRun(listener.Addr().String())
			// With this seed, the request is sent at once and its client does not disconnect.
			client := &client{run: r, random: rand.New(rand.NewPCG(1, 1))}
			defer client.disconnect()
			if c.idleConnection {
				if !client.connect() {
					t.Fatal("no connection")
				}
				<-idleClosed
			}
			if c.killed {
				r.frontEnds[0].kills = []time.Time{time.Now()}
			}
			client.sendRequest()
			if len(r.history.requests) != 1 {
				t.Fatalf("%d requests are recorded, want 1", len(r.history.requests))
			}
			got := r.history.requests[0].outcome
			if used := int(connections.Load()); got != c.want || used != c.connections {
				t.Errorf("outcome %q, %d connections, want %q and %d", got, used, c.want, c.connections)
			}
		})
	}
}

// A front end that neither responds to a malformed request nor closes the connection violates
// RuleMalformedRequest.
func TestSendMalformedRequest_ReportsSilence(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		serve    func(net.Conn)
		violated []Rule
	}{
		"response and close": {func(conn net.Conn) { _, _ = io.WriteString(conn, "HTTP/1.1 400 Bad\r\n\r\n") }, nil},
		"close":              {func(net.Conn) {}, nil},
		"silence":            {func(conn net.Conn) { _, _ = io.Copy(io.Discard, conn) }, []Rule{RuleMalformedRequest}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			listener := tcptest.Listen(t, tcptest.AnyLoopbackPort)
			go tcptest.Serve(listener, c.serve)
			r := newTestRun(listener.Addr().String())
			(&client{run: r, random: rand.New(rand.NewPCG(1, 1))}).sendMalformedRequest()
			if !slices.Equal(violatedRules(r), c.violated) {
				t.Errorf("violated %q, want %q", violatedRules(r), c.violated)
			}
		})
	}
}
