package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"flaxrelay/internal/tcptest"
)

// newTestRun returns a run without processes, whose front end is said to listen at the address.
func newTestRun(addr string) *run {
	r := &run{history: newHistory(), site: siteOptions{retryAfter: true}}
	r.frontEnds = []*frontEnd{{run: r, name: "n1", addr: addr, ready: true}}
	return r
}

// rulesBroken lists the rules of the violations that were seen while the run went on.
func rulesBroken(r *run) (rules []string) {
	for _, v := range r.history.violations {
		rules = append(rules, v.Rule)
	}
	return rules
}

// The answer decides the outcome of a request, and the rules that it breaks.
func TestReceive_JudgesTheAnswer(t *testing.T) {
	const id = "000000000000000a" // whose result has two pages
	answer := func(status, header, body string) string {
		return "HTTP/1.1 " + status + "\r\n" + header + fmt.Sprintf("Content-Length: %d", len(body)) + "\r\n\r\n" + body
	}
	rows := func(rows ...string) string { return `{"result":[[` + strings.Join(rows, `],[`) + `]]}` }
	first, second := `"`+id+`","0","2"`, `"`+id+`","1","2"`
	for _, c := range []struct {
		name, answers string
		want          outcome
		broken        []string
		fails         bool
	}{
		{name: "whole result", answers: answer("200 OK", "", rows(first, second)), want: outcomeServed},
		{
			name: "whole result in two pages", want: outcomeServed,
			answers: answer("200 OK", "", `{"more":"/more","result":[[`+first+`]]}`) + answer("200 OK", "", rows(second)),
		},
		{name: "half a result", answers: answer("200 OK", "", rows(first)), want: outcomeServed, broken: []string{ruleWholeAnswer}},
		{name: "rows out of order", answers: answer("200 OK", "", rows(second, first)), want: outcomeServed, broken: []string{ruleWholeAnswer}},
		{name: "rows of another request", answers: answer("200 OK", "", rows(`"x","0","2"`, `"x","1","2"`)), want: outcomeServed, broken: []string{ruleWholeAnswer}},
		{name: "short row", answers: answer("200 OK", "", rows(`"`+id+`"`, second)), want: outcomeServed, broken: []string{ruleWholeAnswer}},
		{name: "503 with a wait", answers: answer("503 Busy", "Srv-Wait-Ms: 5\r\n", "{}"), want: outcomeRejected},
		{name: "503 without a wait", answers: answer("503 Busy", "", "{}"), want: outcomeRejected, broken: []string{ruleRetryAfter}},
		{name: "429 with a wait", answers: answer("429 Busy", "Srv-Wait-Ms: 5\r\n", "{}"), want: outcomeRejected},
		{name: "429 without a wait", answers: answer("429 Busy", "", "{}"), want: outcomeRejected, broken: []string{ruleRetryAfter}},
		{name: "busy with a wait", answers: answer("200 OK", "Srv-Wait-Ms: 5\r\n", `{"fault":"Busy"}`), want: outcomeRejected},
		{name: "busy without a wait", answers: answer("200 OK", "", `{"fault":"Busy"}`), want: outcomeRejected, broken: []string{ruleRetryAfter}},
		{name: "fault", answers: answer("200 OK", "", `{"fault":"Broken"}`), want: outcomeFailed},
		{name: "500", answers: answer("500 Broken", "", "{}"), want: outcomeFailed},
		{name: "no JSON", answers: answer("200 OK", "", "{"), fails: true},
		{name: "cut off", answers: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n{", fails: true},
		{name: "nothing", answers: "", fails: true},
		{name: "pages without end", answers: strings.Repeat(answer("200 OK", "", `{"more":"/more"}`), maxPages), fails: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			listener := tcptest.Listen(t, tcptest.AnyLoopbackPort)
			go tcptest.Serve(listener, func(conn net.Conn) {
				_, _ = io.WriteString(conn, c.answers)
				_ = conn.(*net.TCPConn).CloseWrite()
				_, _ = io.Copy(io.Discard, conn)
			})
			r := newTestRun(listener.Addr().String())
			client := &client{run: r, random: rand.New(rand.NewPCG(1, 1))}
			if !client.connect() {
				t.Fatal("no connection")
			}
			defer client.drop()
			request := &request{id: id, sentAt: time.Now(), wait: 5 * time.Second}
			err := client.receive(request)
			if (err != nil) != c.fails || request.outcome != c.want || !slices.Equal(rulesBroken(r), c.broken) {
				t.Errorf("%v, outcome %q, broken %q, want %+v", err, request.outcome, rulesBroken(r), c)
			}
		})
	}
}

// Without the setting a rejection needs no time to come back.
func TestReceive_NeedsNoWaitWhereSettingsHaveNone(t *testing.T) {
	r := newTestRun("")
	r.site.retryAfter = false
	request := &request{id: "a"}
	c := &client{run: r}
	c.judge(request, &http.Response{StatusCode: http.StatusServiceUnavailable}, answerBody{}, nil)
	if request.outcome != outcomeRejected || rulesBroken(r) != nil {
		t.Errorf("outcome %q, broken %q", request.outcome, rulesBroken(r))
	}
}

// A request without an answer is lost, unless its front end was killed.
func TestExplain_ExcusesOnlyWhatAKillCutOff(t *testing.T) {
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
		(&client{run: r, target: r.frontEnds[0]}).explain(request, io.EOF, true)
		if request.outcome != c.want {
			t.Errorf("%s: outcome %q, want %q", c.name, request.outcome, c.want)
		}
	}
}

// A bad client gets an answer or a close; a front end that does neither breaks the rule.
func TestMisbehave_WantsAnAnswerOrAClose(t *testing.T) {
	for name, c := range map[string]struct {
		serve  func(net.Conn)
		broken []string
	}{
		"answer and close": {func(conn net.Conn) { _, _ = io.WriteString(conn, "HTTP/1.1 400 Bad\r\n\r\n") }, nil},
		"close":            {func(net.Conn) {}, nil},
		"silence":          {func(conn net.Conn) { _, _ = io.Copy(io.Discard, conn) }, []string{ruleBadClient}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			listener := tcptest.Listen(t, tcptest.AnyLoopbackPort)
			go tcptest.Serve(listener, c.serve)
			r := newTestRun(listener.Addr().String())
			(&client{run: r, random: rand.New(rand.NewPCG(1, 1))}).misbehave()
			if !slices.Equal(rulesBroken(r), c.broken) {
				t.Errorf("broken %q, want %q", rulesBroken(r), c.broken)
			}
		})
	}
}
