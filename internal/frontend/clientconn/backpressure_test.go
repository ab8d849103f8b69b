package clientconn

import (
	"io"
	"net"
	"testing"
	"time"

	"flaxrelay/internal/eventloop"
	"flaxrelay/internal/eventloop/eventlooptest"
)

// pausingHandler writes to its client until PauseUntilFlushed reports that it must pause. It closes the connection when
// it is called again.
type pausingHandler struct {
	calls               int
	paused              chan struct{} // closed by the first call
	pendingAtSecondCall int           // bytes waiting to be sent at the second call
	unreadAtSecondCall  int           // unread bytes of the client at the second call
}

// OnData implements eventloop.Handler.
func (h *pausingHandler) OnData(socket *eventloop.Conn, in *eventloop.Buffer) {
	const maxPending = 1 << 10
	h.calls++
	if h.calls > 1 {
		h.pendingAtSecondCall = socket.PendingWrite()
		h.unreadAtSecondCall = in.Len()
		socket.Close()
		return
	}
	chunk := make([]byte, maxPending)
	for !PauseUntilFlushed(socket, maxPending) {
		socket.Write(chunk)
	}
	close(h.paused)
}

// OnClosed implements eventloop.Handler.
func (h *pausingHandler) OnClosed(*eventloop.Conn, error) {}

func TestPauseUntilFlushed_HandlerIsCalledAgainOnceAllBytesAreSent(t *testing.T) {
	const waitLimit = 10 * time.Second
	loop, err := eventloop.New()
	if err != nil {
		t.Fatal(err)
	}
	handler := &pausingHandler{paused: make(chan struct{}), pendingAtSecondCall: -1}
	listener, err := Listen(loop, "127.0.0.1:0", 1<<10, 0, func(*eventloop.Conn) eventloop.Handler { return handler })
	if err != nil {
		t.Fatal(err)
	}
	eventlooptest.Run(t, loop)
	t.Cleanup(listener.CloseListener)
	client, err := net.Dial("tcp", listener.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = client.Close() })
	if err := client.SetDeadline(time.Now().Add(waitLimit)); err != nil {
		t.Fatal(err)
	}
	const request = "q"
	if _, err := io.WriteString(client, request); err != nil {
		t.Fatal(err)
	}
	// The client does not read until the handler pauses: otherwise all bytes might be sent at once.
	select {
	case <-handler.paused:
	case <-time.After(waitLimit):
		t.Fatal("the handler did not pause")
	}
	if _, err := io.Copy(io.Discard, client); err != nil {
		t.Fatal(err) // the handler was not called again, and the connection stays open
	}
	eventlooptest.Do(loop, func() {
		if handler.pendingAtSecondCall != 0 || handler.unreadAtSecondCall != len(request) {
			t.Errorf("called again with %d bytes pending and %d unread, want 0 and %d",
				handler.pendingAtSecondCall, handler.unreadAtSecondCall, len(request))
		}
	})
}
