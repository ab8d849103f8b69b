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
)

// Two values of the HTTP front end differ between runs, and only these are replaced in the transcripts: the start time
// in the paths of further pages, and the value of Srv-Wait-Ms, which has random jitter. The Content-Length of a
// response with such a path is checked against the body, and is then recorded as the length of the recorded body.
var (
	startTime   = regexp.MustCompile(`/more/[0-9a-z]+-`)
	waitValue   = regexp.MustCompile(`Srv-Wait-Ms: [1-9][0-9]{0,3}\r\n`)
	morePath    = regexp.MustCompile(`"more":"([^"]*)"`)
	lengthField = regexp.MustCompile(`Content-Length: ([0-9]+)\r\n`)
)

// httpRecorder is a recorded connection to the HTTP front end.
type httpRecorder struct {
	*transcript
	name string
	conn net.Conn
	in   *bufio.Reader
	more string // the path of further pages in the latest response
}

// recordHTTP connects to an HTTP front end. The name precedes each line of the connection in the transcript.
func (tr *transcript) recordHTTP(name, addr string) *httpRecorder {
	conn := dial(tr.t, addr)
	return &httpRecorder{transcript: tr, name: name, conn: conn, in: bufio.NewReader(conn)}
}

// send writes text, with MORE replaced by the path of further pages in the latest response.
func (r *httpRecorder) send(text string) {
	r.t.Helper()
	text = strings.ReplaceAll(text, "MORE", r.more)
	r.addLines(r.name, ">", startTime.ReplaceAll([]byte(text), []byte("/more/START-")))
	if _, err := io.WriteString(r.conn, text); err != nil {
		r.t.Fatal(err)
	}
}

// receive reads one response. It uses no HTTP client, which would hide the bytes of the response.
func (r *httpRecorder) receive() {
	r.t.Helper()
	var head []byte
	for !bytes.HasSuffix(head, []byte("\r\n\r\n")) {
		b, err := r.in.ReadByte()
		if err != nil {
			r.t.Fatalf("after %q: %v", head, err)
		}
		head = append(head, b)
	}
	length := lengthField.FindSubmatch(head)
	if length == nil {
		r.t.Fatalf("no length in %q", head)
	}
	n, _ := strconv.Atoi(string(length[1]))
	body := make([]byte, n)
	if _, err := io.ReadFull(r.in, body); err != nil {
		r.t.Fatal(err)
	}
	r.more = ""
	if path := morePath.FindSubmatch(body); path != nil {
		r.more = string(path[1])
		body = startTime.ReplaceAll(body, []byte("/more/START-"))
		head = lengthField.ReplaceAll(head, fmt.Appendf(nil, "Content-Length: %d\r\n", len(body)))
	}
	r.addLines(r.name, "<", waitValue.ReplaceAll(head, []byte("Srv-Wait-Ms: FIGURE\r\n")))
	r.addLines(r.name, "<", body)
}

// roundTrip sends one request and reads its response.
func (r *httpRecorder) roundTrip(text string) {
	r.t.Helper()
	r.send(text)
	r.receive()
}

// recordClose reads until the front end closes the connection.
func (r *httpRecorder) recordClose() {
	r.t.Helper()
	r.addLines(r.name, "<", readToEnd(r.t, r.in))
	r.addEvent(r.name, "closed by the front end")
}

// disconnect half-closes the connection from the client's side, and records what arrives until the front end closes it.
func (r *httpRecorder) disconnect() {
	r.t.Helper()
	closeWrite(r.t, r.conn)
	r.addLines(r.name, "<", readToEnd(r.t, r.in))
	r.addEvent(r.name, "closed by the client")
}

// healthRequest is a health check with a Host header, as most clients send it.
const healthRequest = "GET /health HTTP/1.1\r\nHost: backend.local\r\n\r\n"

// goldenEngine is the script of an engine whose response depends on the table of the statement.
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
		return doneReply(line, "")
	case strings.Contains(line, "turned_away"):
		return words[1] + " WAIT - 0\r\n\r\n"
	case strings.Contains(line, "broken"):
		return words[1] + " BROKE - 0\r\n\r\n"
	case strings.Contains(line, "past"):
		return words[1] + " PAST - 0\r\n\r\n"
	case strings.Contains(line, "unreadable"):
		return "no answer at all\r\n"
	case strings.Contains(line, "hangs_up"):
		return closeConnection
	case strings.Contains(line, "silent"):
		return ""
	}
	return doneReply(line, "a\t\"1\"\t\\x\nb\t\x01\té\n")
}

// goldenPage returns a page with one long row that begins with the number of the page.
func goldenPage(n int) string {
	const cellLength = 5900 // so that the pages of a result need more than one response
	return fmt.Sprintf("%d\t%s\tz\n", n, strings.Repeat(string(rune('a'+n)), cellLength))
}
