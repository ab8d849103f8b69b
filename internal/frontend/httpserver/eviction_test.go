package httpserver

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"flaxrelay/internal/engine/lineclient"
	"flaxrelay/internal/eventloop/eventlooptest"
)

func TestEvictedBefore_PrefersConnectionsWithoutAValidRequest(t *testing.T) {
	newSilent := &connection{lastActive: 9, state: stateNew}
	oldSilent := &connection{lastActive: 5, state: stateNew}
	newUsed := &connection{lastActive: 8, state: stateIdle}
	oldUsed := &connection{lastActive: 1, state: stateIdle}
	order := []*connection{oldSilent, newSilent, oldUsed, newUsed}
	for i, first := range order {
		for j, second := range order {
			if got := first.evictedBefore(second); got != (i < j) {
				t.Errorf("connection %d before %d: %v", i, j, got)
			}
		}
	}
}

// A closing connection is not aborted until its last response has been sent: the abort would cut
// the response off.
func TestFindVictim_ResponseThatWaitsToBeSentIsNotCutOff(t *testing.T) {
	const most = 2000 // pages, more than the kernel's buffers hold
	server := startTestServer(t, Options{})
	page := lineclient.Rows{bytes.Repeat([]byte("a\tb\tc\n"), 8000)}
	var path string
	eventlooptest.Do(server.loop, func() { path, _ = server.results.add([]lineclient.Rows{page, page}, 1) })
	client, err := net.Dial("tcp", server.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = client.Close() })
	if err := client.SetDeadline(time.Now().Add(20 * time.Second)); err != nil {
		t.Fatal(err)
	}
	c := firstConnection(server)
	pages := 0
	for pending := 0; pending == 0 && pages < most; pages++ {
		before := lastActive(server, c)
		requestPage(t, client, path, "")
		for lastActive(server, c) == before {
			time.Sleep(time.Millisecond)
		}
		eventlooptest.Do(server.loop, func() { pending = c.socket.PendingWrite() })
	}
	requestPage(t, client, path, "Connection: close\r\n")
	pages++
	for closing := false; !closing; {
		eventlooptest.Do(server.loop, func() { closing = c.state == stateClosing })
	}
	eventlooptest.Do(server.loop, func() {
		if c.socket.PendingWrite() == 0 {
			t.Error("nothing waits to be sent")
		}
		server.evictor.findVictim()
	})
	received, err := io.ReadAll(client)
	got := bytes.Count(received, []byte("HTTP/1.1 200 OK"))
	if err != nil || got != pages || !bytes.HasSuffix(received, []byte("]}")) {
		t.Errorf("%d of %d responses, then %v", got, pages, err)
	}
}

// requestPage requests the last page of a result.
func requestPage(t *testing.T, client net.Conn, path, headers string) {
	t.Helper()
	if _, err := fmt.Fprintf(client, "GET %s/1 HTTP/1.1\r\n%s\r\n", path, headers); err != nil {
		t.Fatal(err)
	}
}

// lastActive returns when the connection served its latest request.
func lastActive(server *Server, c *connection) (at time.Duration) {
	eventlooptest.Do(server.loop, func() { at = c.lastActive })
	return at
}
