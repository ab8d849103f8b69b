package e2e

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"flaxrelay/policy"
)

// Two values of the HTTP front differ from run to run, and only these are replaced in the
// transcripts: the start's mark in the paths of further parts, which is the time of the
// start, and the figure of Srv-Wait-Ms, which is drawn at random. The length of an answer
// that holds such a path is checked against its body and then told for the replaced one.
var (
	startMark   = regexp.MustCompile(`/more/[0-9a-z]+-`)
	waitFigure  = regexp.MustCompile(`Srv-Wait-Ms: [1-9][0-9]{0,3}\r\n`)
	morePath    = regexp.MustCompile(`"more":"([^"]*)"`)
	lengthField = regexp.MustCompile(`Content-Length: ([0-9]+)\r\n`)
)

// httpExchange is one recorded connection to the HTTP front.
type httpExchange struct {
	*transcript
	name string
	conn net.Conn
	in   *bufio.Reader
	more string // the path that the latest answer named
}

func (tr *transcript) http(name, addr string) *httpExchange {
	c := dial(tr.t, addr)
	return &httpExchange{transcript: tr, name: name, conn: c, in: bufio.NewReader(c)}
}

// send writes bytes, in which MORE stands for the path that the latest answer named.
func (x *httpExchange) send(text string) {
	x.t.Helper()
	text = strings.ReplaceAll(text, "MORE", x.more)
	x.lines(x.name, ">", startMark.ReplaceAll([]byte(text), []byte("/more/START-")))
	if _, err := io.WriteString(x.conn, text); err != nil {
		x.t.Fatal(err)
	}
}

// receive reads one answer byte by byte as it comes, without the help of a HTTP client.
func (x *httpExchange) receive() {
	x.t.Helper()
	var head []byte
	for !bytes.HasSuffix(head, []byte("\r\n\r\n")) {
		b, err := x.in.ReadByte()
		if err != nil {
			x.t.Fatalf("after %q: %v", head, err)
		}
		head = append(head, b)
	}
	length := lengthField.FindSubmatch(head)
	if length == nil {
		x.t.Fatalf("no length in %q", head)
	}
	n, _ := strconv.Atoi(string(length[1]))
	body := make([]byte, n)
	if _, err := io.ReadFull(x.in, body); err != nil {
		x.t.Fatal(err)
	}
	x.more = ""
	if path := morePath.FindSubmatch(body); path != nil {
		x.more = string(path[1])
		body = startMark.ReplaceAll(body, []byte("/more/START-"))
		head = lengthField.ReplaceAll(head, fmt.Appendf(nil, "Content-Length: %d\r\n", len(body)))
	}
	x.lines(x.name, "<", waitFigure.ReplaceAll(head, []byte("Srv-Wait-Ms: FIGURE\r\n")))
	x.lines(x.name, "<", body)
}

// exchange sends one call and reads its answer.
func (x *httpExchange) exchange(text string) {
	x.t.Helper()
	x.send(text)
	x.receive()
}

// closed reads to the end that the front makes.
func (x *httpExchange) closed() {
	x.t.Helper()
	x.lines(x.name, "<", readToEnd(x.t, x.in))
	x.event(x.name, "closed by the front end")
}

// hangUp ends the connection from the client's side; nothing more may have come.
func (x *httpExchange) hangUp() {
	x.t.Helper()
	closeWrite(x.t, x.conn)
	x.lines(x.name, "<", readToEnd(x.t, x.in))
	x.event(x.name, "closed by the client")
}

const health = "GET /health HTTP/1.1\r\nHost: backend.local\r\n\r\n"

// without cuts one piece out of a call.
func without(call, piece string) string { return strings.Replace(call, piece, "", 1) }

// goldenEngine answers by the statement's class and text, as real ones do.
func goldenEngine(line string) string {
	words := strings.Fields(line)
	switch {
	case words[0] == "turn":
		n, _ := strconv.Atoi(words[2])
		page := goldenPage(n)
		return fmt.Sprintf("%s MORE batch=%s %d\r\n%s\r\n", words[1], words[2], len(page), page)
	case words[0] != "want":
		return ""
	case strings.Contains(line, "several_pages"):
		page := goldenPage(0)
		return fmt.Sprintf("%s DONE batches=24 %d\r\n%s\r\n", words[1], len(page), page)
	case strings.Contains(line, "no_rows"):
		return done(line, "")
	case strings.Contains(line, "turned_away"):
		return words[1] + " WAIT - 0\r\n\r\n"
	case strings.Contains(line, "broken"):
		return words[1] + " BROKE - 0\r\n\r\n"
	case strings.Contains(line, "past"):
		return words[1] + " PAST - 0\r\n\r\n"
	case strings.Contains(line, "unreadable"):
		return "no answer at all\r\n"
	case strings.Contains(line, "hangs_up"):
		return "hang up"
	case strings.Contains(line, "silent"):
		return ""
	}
	return done(line, "a\t\"1\"\t\\x\nb\t\x01\té\n")
}

// goldenPage is a page of one long row that tells its number.
func goldenPage(n int) string {
	return fmt.Sprintf("%d\t%s\tz\n", n, strings.Repeat(string(rune('a'+n)), 5900))
}

// asking is a call whose statement reads the table.
func asking(class, table, head string) string {
	text := "SELECT day FROM sales_17." + table
	return fmt.Sprintf("POST /rpc/%s HTTP/1.1\r\nHost: backend.local\r\nReq-Id: %s\r\nReq-Wait-Ms: 2000\r\n%sContent-Length: %d\r\n\r\n%s",
		class, id, head, len(text), text)
}

// Calls that an engine serves, and those that are taken and end otherwise.
func TestGoldenHTTPAnswers(t *testing.T) {
	const token = "Req-Token: k-1\r\n"
	for name, calls := range map[string][]string{
		"health":                  {health},
		"served":                  {asking("lookup", "orders", "")},
		"served-no-rows":          {asking("lookup", "no_rows", "")},
		"served-load":             {asking("load", "orders", token+"Req-Kb: 96\r\nReq-Cost: 820.0\r\nReq-Retry: 1\r\n")},
		"served-lower-case-field": {strings.Replace(asking("lookup", "orders", ""), "Req-Id", "req-id", 1)},
		"served-twice":            {asking("lookup", "orders", ""), asking("report", "orders", "")},
		"several-pages":           {asking("report", "several_pages", ""), "GET MORE HTTP/1.1\r\n\r\n", "GET MORE HTTP/1.1\r\n\r\n"},
		"delete-open-path":        {asking("report", "several_pages", ""), "DELETE MORE HTTP/1.1\r\n\r\n", health},
		"delete-twice": {asking("report", "several_pages", ""), "DELETE MORE HTTP/1.1\r\n\r\n",
			"DELETE /more/unknown-1/1 HTTP/1.1\r\n\r\n"},
		"path-of-nothing":   {"GET /more/unknown-1/1 HTTP/1.1\r\n\r\n"},
		"path-without-part": {"GET /more/ HTTP/1.1\r\n\r\n"},
		"refused-load":      {asking("load", "broken", token)},
		"failed-write":      {asking("write", "broken", "")},
		"failed-unreadable": {asking("write", "unreadable", "")},
		"failed-reset":      {asking("write", "hangs_up", "")},
		"refused-full":      {asking("write", "turned_away", "")},
	} {
		t.Run(name, func(t *testing.T) {
			addr, _ := lineEngine(t, goldenEngine)
			x := newTranscript(t).http("", platform(t, addr).addr)
			for _, call := range calls {
				x.exchange(call)
			}
			x.hangUp()
			x.compare("http/" + name)
		})
	}
}

// The module refuses a request that no engine could take.
func TestGoldenHTTPRefused(t *testing.T) {
	x := newTranscript(t).http("", platform(t).addr)
	x.exchange(asking("lookup", "orders", ""))
	x.exchange(health)
	x.hangUp()
	x.compare("http/refused-no-engine")
}

// Without leave to tell when to come back a refusal has no such field.
func TestGoldenHTTPRefusedUnsaid(t *testing.T) {
	g := newGateway(t, func(s *policy.Settings) { s.Limits.RetryAfter = false })
	x := newTranscript(t).http("", g.platform().addr)
	x.exchange(asking("lookup", "orders", ""))
	x.hangUp()
	x.compare("http/refused-unsaid")
}

// An engine says nothing until the client's time is over.
func TestGoldenHTTPTimeout(t *testing.T) {
	addr, _ := lineEngine(t, goldenEngine)
	x := newTranscript(t).http("", platform(t, addr).addr)
	x.exchange(strings.Replace(asking("write", "silent", ""), "2000", "100", 1))
	x.hangUp()
	x.compare("http/failed-timeout")
}

// Bad calls are answered and end their connections, with all that stands behind them.
func TestGoldenHTTPBadCalls(t *testing.T) {
	addr, _ := lineEngine(t, goldenEngine)
	good := asking("lookup", "orders", "")
	with := func(head string) string { return asking("lookup", "orders", head) }
	g := platform(t, addr)
	answered := map[string]*httpExchange{}
	for name, call := range map[string]string{
		"unknown-path":          "GET /nowhere HTTP/1.1\r\n\r\n",
		"unknown-class":         asking("nope", "orders", ""),
		"unknown-method":        "PATCH /rpc/lookup HTTP/1.1\r\n\r\n",
		"method-of-health":      "DELETE /health HTTP/1.1\r\n\r\n",
		"method-of-more":        "POST /more/x-1/1 HTTP/1.1\r\nContent-Length: 1\r\n\r\nx",
		"get-of-class":          "GET /rpc/lookup HTTP/1.1\r\n\r\n",
		"no-id":                 without(good, "Req-Id: "+id+"\r\n"),
		"short-id":              strings.Replace(good, id, id[1:], 1),
		"id-not-hex":            strings.Replace(good, id, "g"+id[1:], 1),
		"id-twice":              with("Req-Id: " + id + "\r\n"),
		"no-wait":               without(good, "Req-Wait-Ms: 2000\r\n"),
		"wait-no-number":        strings.Replace(good, "2000", "NaN", 1),
		"wait-zero":             strings.Replace(good, "2000", "0", 1),
		"wait-too-long":         strings.Replace(good, "2000", "600001", 1),
		"length-no-number":      "POST /rpc/lookup HTTP/1.1\r\nContent-Length: x\r\n\r\n",
		"length-negative":       "POST /rpc/lookup HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
		"length-signed":         "POST /rpc/lookup HTTP/1.1\r\nContent-Length: +1\r\n\r\nx",
		"length-past-64-bits":   "POST /rpc/lookup HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\n",
		"length-huge":           "POST /rpc/lookup HTTP/1.1\r\nContent-Length: 98305\r\n\r\n",
		"length-zero":           "POST /rpc/lookup HTTP/1.1\r\nContent-Length: 0\r\n\r\n",
		"length-missing":        "POST /rpc/lookup HTTP/1.1\r\n\r\n",
		"length-twice":          with("Content-Length: 1\r\n"),
		"length-too-small":      good + " and more",
		"length-and-encoding":   with("Transfer-Encoding: chunked\r\n"),
		"encoding":              "POST /rpc/lookup HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"header-line-too-long":  "GET /health HTTP/1.1\r\nHost: " + strings.Repeat("x", 17000),
		"request-line-too-long": "GET /" + strings.Repeat("x", 17000),
		"request-line-words":    "GET /health\r\n\r\n",
		"request-line-empty":    "\r\n\r\n",
		"request-line-path":     "GET health HTTP/1.1\r\n\r\n",
		"request-line-no-http":  "hello\r\n\r\n",
		"version":               "GET /health HTTP/2.0\r\n\r\n",
		"header-no-colon":       "GET /health HTTP/1.1\r\nHost\r\n\r\n",
		"header-space":          "GET /health HTTP/1.1\r\nContent-Length : 1\r\n\r\n",
		"header-folded":         "GET /health HTTP/1.1\r\nHost: a\r\n b\r\n\r\n",
		"header-stray-lf":       "GET /health HTTP/1.1\r\nHost: a\nb: c\r\n\r\n",
		"header-nul":            "GET /health HTTP/1.1\r\nHost: a\x00\r\n\r\n",
		"statement-no-text":     strings.Replace(good, "day", "d\xffy", 1),
		"statement-nul":         strings.Replace(good, "day", "d\x00y", 1),
		"retry-no-number":       with("Req-Retry: x\r\n"),
		"cost-zero":             with("Req-Cost: 0\r\n"),
		"memory-no-number":      with("Req-Kb: much\r\n"),
		"load-no-token":         asking("load", "orders", ""),
		"load-bad-token":        asking("load", "orders", "Req-Token: a,b\r\n"),
		"followed-by-others":    asking("nope", "orders", "") + health + health,
	} {
		x := newTranscript(t).http("", g.addr)
		x.exchange(call)
		answered[name] = x
	}
	for name, x := range answered { // the front end leaves each client some time to read
		x.closed()
		x.compare("http/bad-" + name)
	}
	if n := g.count("requests.accepted."); n != 0 {
		t.Errorf("%d requests taken, want none", n)
	}
}

// Calls that come in one piece are answered one after the other, in their order.
func TestGoldenHTTPPipelined(t *testing.T) {
	addr, _ := lineEngine(t, goldenEngine)
	x := newTranscript(t).http("", platform(t, addr).addr)
	x.send(asking("lookup", "orders", "") + health + asking("report", "no_rows", "") + health)
	for range 4 {
		x.receive()
	}
	x.hangUp()
	x.compare("http/pipelined")
}

// Calls whose connection ends behind their answer by their own wish.
func TestGoldenHTTPLastCalls(t *testing.T) {
	addr, _ := lineEngine(t, goldenEngine)
	g := platform(t, addr)
	for name, call := range map[string]string{
		"http-1.0":        "GET /health HTTP/1.0\r\n\r\n",
		"http-1.0-served": strings.Replace(asking("lookup", "orders", ""), "HTTP/1.1", "HTTP/1.0", 1),
		"close":           "GET /health HTTP/1.1\r\nConnection: Close\r\n\r\n",
		"close-served":    asking("lookup", "orders", "Connection: close\r\n"),
	} {
		t.Run(name, func(t *testing.T) {
			x := newTranscript(t).http("", g.addr)
			x.send(call)
			x.receive()
			x.closed()
			x.compare("http/last-" + name)
		})
	}
}

// A second request of an id that is open is turned down, and the first goes on.
func TestGoldenHTTPOpenID(t *testing.T) {
	release := make(chan struct{})
	addr, seen := lineEngine(t, func(line string) string {
		<-release
		return goldenEngine(line)
	})
	tr, g := newTranscript(t), platform(t, addr)
	first, second := tr.http("1", g.addr), tr.http("2", g.addr)
	first.send(asking("lookup", "orders", ""))
	g.awaitSent(1)
	second.exchange(asking("lookup", "orders", ""))
	second.closed()
	close(release)
	first.receive()
	await(t, seen)
	first.hangUp()
	tr.compare("http/bad-open-id")
}

// A drain ends idle connections at once, and others behind their answers.
func TestGoldenHTTPDrain(t *testing.T) {
	release := make(chan struct{})
	addr, _ := lineEngine(t, func(line string) string {
		if strings.Contains(line, "orders") {
			<-release
		}
		return goldenEngine(line)
	})
	tr, g := newTranscript(t), platform(t, addr)
	idle, fetching, busy := tr.http("idle", g.addr), tr.http("fetching", g.addr), tr.http("busy", g.addr)
	idle.exchange(health)
	fetching.exchange(asking("report", "several_pages", ""))
	busy.send(asking("lookup", "orders", ""))
	g.awaitSent(2)
	g.do(g.rest.Drain)
	tr.event("", "the drain begins")
	idle.closed()
	fetching.exchange("GET MORE HTTP/1.1\r\n\r\n")
	fetching.exchange("GET MORE HTTP/1.1\r\n\r\n")
	fetching.closed()
	close(release)
	busy.receive()
	busy.closed()
	late := tr.http("late", g.addr)
	late.exchange(health)
	late.closed()
	tr.compare("http/drain")
}
