package e2e

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"
)

// BenchmarkRequestThroughFrontEnd measures one request of a client with a persistent connection: over loopback to the
// HTTP front end, through the dispatcher and the client of the line protocol to an engine in this process, and back.
func BenchmarkRequestThroughFrontEnd(b *testing.B) {
	conn := dial(b, startHTTP(b, startPromptEngine(b)).addr)
	_ = conn.SetDeadline(time.Time{}) // the run may be long
	request := queryRequest("lookup", "")
	in := bufio.NewReader(conn)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := io.WriteString(conn, request); err != nil {
			b.Fatal(err)
		}
		response, err := http.ReadResponse(in, nil)
		if err != nil {
			b.Fatal(err)
		}
		_, err = io.Copy(io.Discard, response.Body)
		if err != nil || response.StatusCode != http.StatusOK {
			b.Fatalf("status %d, %v", response.StatusCode, err)
		}
	}
}

// startPromptEngine starts an engine of the line protocol that serves each request at once with one row. It does not
// report the requests, because that would be part of the measurement. Its connections have no deadline, because the run
// may be long.
func startPromptEngine(b *testing.B) (addr string) {
	b.Helper()
	return listen(b, func(conn net.Conn) {
		_ = conn.SetDeadline(time.Time{})
		servePromptly(conn)
	})
}

// servePromptly serves one connection until it is closed.
func servePromptly(conn net.Conn) {
	const row = "a\tb\tc\n"
	in := bufio.NewReader(conn)
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		words := strings.Fields(line)
		if len(words) == 0 || words[0] != "want" {
			continue
		}
		length, err := strconv.Atoi(words[len(words)-1])
		if err != nil {
			return
		}
		if _, err := in.Discard(length + len("\r\n")); err != nil {
			return
		}
		_, err = fmt.Fprintf(conn, "%s DONE batches=1,cpu=1,used=1 %d\r\n%s\r\n", words[1], len(row), row)
		if err != nil {
			return
		}
	}
}
