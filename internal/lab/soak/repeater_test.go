package soak

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"testing"

	"flaxrelay/internal/tcptest"
)

// A repeater insists while its id is in use, and reports rows that are not those of its own statement.
func TestRepeat_ReportsForeignRows(t *testing.T) {
	const conflict = "HTTP/1.1 409 Conflict\r\nContent-Length: 2\r\n\r\n{}"
	for row, violated := range map[string][]Rule{
		`"repeated","0","1"`: nil,
		`"00000a","0","1"`:   {RuleCompleteResult},
	} {
		body := `{"result":[[` + row + `]]}`
		responses := []string{
			conflict, conflict, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body),
		}
		listener := tcptest.Listen(t, tcptest.AnyLoopbackPort)
		next := make(chan string, len(responses))
		for _, response := range responses {
			next <- response
		}
		go tcptest.Serve(listener, func(conn net.Conn) {
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.WriteString(conn, <-next)
			}
		})
		r := newTestRun(listener.Addr().String())
		repeats := &repeater{run: r}
		repeats.repeat(sentRequest{id: "000000000000000a", frontEnd: r.frontEnds[0]})
		if !slices.Equal(violatedRules(r), violated) || repeats.served != 1 {
			t.Errorf("row %s: violated %q, want %q; %d served", row, violatedRules(r), violated, repeats.served)
		}
	}
}
