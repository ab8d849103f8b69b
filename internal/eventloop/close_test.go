package eventloop

import (
	"io"
	"runtime"
	"testing"

	"flaxrelay/internal/eventloop/eventlooptest"
)

// Bytes that were read just before Close are not handed to the handler after it: their
// sender sees the close alone, and may send them again.
func TestDataThatCrossesClose(t *testing.T) {
	l, r, peer := connectedPair(t)
	eventlooptest.Do(l, func() {
		if _, err := io.WriteString(peer, "a call"); err != nil {
			t.Error(err)
		}
		for l.BufferedBytes() == 0 { // the poller has it, and the loop is here
			runtime.Gosched()
		}
		r.conn.Close()
	})
	if _, err := io.ReadAll(peer); err != nil {
		t.Errorf("the peer saw %v, want the end of the stream", err)
	}
	_ = peer.Close()
	awaitEnd(t, r.closed, "the connection")
	eventlooptest.Do(l, func() {
		if len(r.data) > 0 {
			t.Errorf("OnData got %q after Close", r.data)
		}
		if n := l.BufferedBytes(); n != 0 {
			t.Errorf("%d bytes still counted as buffered", n)
		}
	})
}

// Bytes that come after the last answer do not reset the connection over it.
func TestCloseOverUnreadBytes(t *testing.T) {
	l, r, peer := connectedPair(t)
	eventlooptest.Do(l, func() {
		r.conn.Write([]byte("answer"))
		r.conn.Close()
		for range 3 {
			if _, err := io.WriteString(peer, "more"); err != nil {
				t.Errorf("the peer's write failed: %v", err)
			}
		}
	})
	got, err := io.ReadAll(peer)
	if string(got) != "answer" || err != nil {
		t.Errorf("the peer read %q, then %v", got, err)
	}
}

// A peer that goes on writing and never closes keeps a closed connection for a moment only.
func TestCloseEndsWithoutThePeer(t *testing.T) {
	l, r, peer := connectedPair(t)
	eventlooptest.Do(l, r.conn.Close)
	go func() {
		for {
			if _, err := peer.Write(make([]byte, 64<<10)); err != nil {
				return
			}
		}
	}()
	awaitEnd(t, r.closed, "the connection")
}

// What a connection still accepts, by how it was closed: a second close changes nothing,
// a write is refused, and the handler is notified of the end once.
func TestCloseStates(t *testing.T) {
	for _, test := range []struct {
		name  string
		close func(*Conn)
		want  connState
	}{
		{"Close", (*Conn).Close, connDraining},
		{"CloseAfterLinger", (*Conn).CloseAfterLinger, connLingering},
		{"Close, then CloseAfterLinger", func(c *Conn) { c.Close(); c.CloseAfterLinger() }, connDraining},
		{"CloseAfterLinger, then Close", func(c *Conn) { c.CloseAfterLinger(); c.Close() }, connLingering},
	} {
		t.Run(test.name, func(t *testing.T) {
			l, r, _ := connectedPair(t)
			eventlooptest.Do(l, func() {
				test.close(r.conn)
				if got := r.conn.loadState(); got != test.want {
					t.Errorf("state %d, want %d", got, test.want)
				}
				if r.conn.Write([]byte("late")) {
					t.Error("a closing connection took a write")
				}
			})
			awaitEnd(t, r.closed, "the connection")
			eventlooptest.Do(l, func() {
				if got := r.conn.loadState(); got != connClosed {
					t.Errorf("state %d at the end, want %d", got, connClosed)
				}
			})
			if len(r.closed) > 0 {
				t.Error("OnClosed was called twice")
			}
		})
	}
}

// A connection is closed as idle only if nothing has arrived on it, not even bytes that the
// poller has not read: these are handed on.
func TestCloseIfIdle(t *testing.T) {
	l, r, peer := connectedPair(t)
	eventlooptest.Do(l, func() {
		r.conn.socket.waitFor(0) // the poller does not read
		if _, err := io.WriteString(peer, "a call"); err != nil {
			t.Error(err)
		}
		if r.conn.CloseIfIdle() { // loopback has carried it by the end of the write
			t.Error("closed over bytes that had arrived")
		}
	})
	eventlooptest.Do(l, func() {
		if len(r.data) != 1 || r.data[0] != "a call" {
			t.Errorf("OnData got %q", r.data)
		}
		if !r.conn.CloseIfIdle() {
			t.Error("an idle connection was not closed")
		}
	})
	if _, err := io.ReadAll(peer); err != nil {
		t.Errorf("the peer saw %v, want the end of the stream", err)
	}
}
