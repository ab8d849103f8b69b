package e2e

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
)

// seenCapacity is the number of requests that a scripted engine can report before it blocks until the test reads them.
const seenCapacity = 100

// startLineEngine starts an engine of the line protocol that responds to each line with the result of script. The
// engine sends each line to seen, with the statement appended if the line begins a request.
func startLineEngine(t *testing.T, script func(line string) (response string)) (addr string, seen chan string) {
	t.Helper()
	seen = make(chan string, seenCapacity)
	var scriptLock sync.Mutex // scripts keep state, and connections are served concurrently
	return listen(t, func(conn net.Conn) {
		in := bufio.NewReader(conn)
		for {
			line, err := readEngineLine(in)
			if err != nil {
				return
			}
			scriptLock.Lock()
			response := script(line)
			scriptLock.Unlock()
			seen <- line
			if response == closeConnection {
				return
			}
			if _, err := io.WriteString(conn, response); err != nil {
				return
			}
		}
	}), seen
}

// readEngineLine reads a line, and appends the statement if the line begins a request.
func readEngineLine(in *bufio.Reader) (string, error) {
	line, err := in.ReadString('\n')
	if err != nil {
		return "", fmt.Errorf("read a line: %w", err)
	}
	line = strings.TrimRight(line, "\r\n")
	if !strings.HasPrefix(line, "want ") {
		return line, nil
	}
	var length int
	_, _ = fmt.Sscan(line[strings.LastIndexByte(line, ' '):], &length)
	statement := make([]byte, length+len("\r\n"))
	if _, err := io.ReadFull(in, statement); err != nil {
		return "", fmt.Errorf("read a statement: %w", err)
	}
	return line + " " + string(statement[:length]), nil
}

// emptyReply is the script of an engine that serves each request with an empty result.
func emptyReply(line string) string { return doneReply(line, "") }

// noReply is the script of an engine that never responds.
func noReply(string) string { return "" }

// doneReply returns the response that serves the request of a line with one page.
func doneReply(line, page string) string { return servedResponse(strings.Fields(line)[1], page) }

// servedResponse returns the response that serves the request with one page.
func servedResponse(id, page string) string {
	const fields = "batches=1,cpu=12.5,used=3,gauges=util:0.5;queue:0;x1:0;x0:0"
	return fmt.Sprintf("%s DONE %s %d\r\n%s\r\n", id, fields, len(page), page)
}

// writeEmptyResult serves the request with an empty result, and reports whether the response could be written.
func writeEmptyResult(conn net.Conn, id string) bool {
	_, err := io.WriteString(conn, servedResponse(id, ""))
	return err == nil
}

// readRequestIDs calls handle with the id of each request that arrives on a connection of the line protocol, until the
// connection is closed or handle returns false.
func readRequestIDs(conn net.Conn, handle func(id string) (keepReading bool)) {
	for in := bufio.NewReader(conn); ; {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		if words := strings.Fields(line); len(words) == 4 && words[0] == "want" && !handle(words[1]) {
			return
		}
	}
}
