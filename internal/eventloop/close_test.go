package eventloop

import (
	"errors"
	"io"
	"runtime"
	"testing"
	"time"

	"golang.org/x/sys/unix"

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
		{"CloseIfIdle", func(c *Conn) { c.CloseIfIdle() }, connDraining},
		{"Close, then CloseIfIdle", func(c *Conn) { c.Close(); c.CloseIfIdle() }, connDraining},
		{"CloseAfterLinger, then CloseIfIdle", func(c *Conn) { c.CloseAfterLinger(); c.CloseIfIdle() }, connLingering},
	} {
		t.Run(test.name, func(t *testing.T) {
			l, r, _ := connectedPair(t)
			eventlooptest.Do(l, func() {
				test.close(r.conn)
				if got := r.conn.closer.state.load(); got != test.want {
					t.Errorf("state %d, want %d", got, test.want)
				}
				if r.conn.Write([]byte("late")) {
					t.Error("a closing connection took a write")
				}
			})
			awaitEnd(t, r.closed, "the connection")
			eventlooptest.Do(l, func() {
				if got := r.conn.closer.state.load(); got != connClosed {
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

// What a peer sends after Close is read and dropped, up to the size of a read buffer: beyond that it would be read at
// full speed for nothing.
func TestClose_DiscardsNoMoreThanABuffer(t *testing.T) {
	l, r, peer := connectedPair(t)
	discarded := func() int {
		r.conn.reader.mu.Lock()
		defer r.conn.reader.mu.Unlock()
		return r.conn.reader.discarded
	}
	eventlooptest.Do(l, func() { // the poller reads meanwhile, and no timer ends the connection
		r.conn.Close()
		if _, err := peer.Write(make([]byte, 2*readLimit)); err != nil {
			t.Error(err)
		}
		for discarded() <= readLimit {
			runtime.Gosched()
		}
		time.Sleep(20 * time.Millisecond) // time in which too much would be read
		if got := discarded(); got > readLimit+readSize {
			t.Errorf("%d bytes discarded, want at most %d", got, readLimit+readSize)
		}
	})
	awaitEnd(t, r.closed, "the connection")
}

// The end of a connection carries the peer's reset, also while the socket is not read.
func TestOnClosed_ReportsAReset(t *testing.T) {
	for _, test := range []struct {
		name   string
		events uint32
	}{
		{"reading", readEvents},
		{"waiting for the end only", unix.EPOLLRDHUP},
		{"not reading", 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			l, r, peer := connectedPair(t)
			eventlooptest.Do(l, func() { r.conn.socket.waitFor(test.events) })
			if err := peer.SetLinger(0); err != nil {
				t.Fatal(err)
			}
			if err := peer.Close(); err != nil {
				t.Fatal(err)
			}
			if err := <-r.closed; !errors.Is(err, unix.ECONNRESET) {
				t.Errorf("closed with %v, want %v", err, unix.ECONNRESET)
			}
		})
	}
}

// Close makes space in a full buffer, so that what the peer still sends is read: left unread, it would reset the
// connection.
func TestClose_ReadsOnBehindAFullBuffer(t *testing.T) {
	const size = readLimit + 2*readSize // more than is read before a pause
	l, r, peer := connectedPair(t)
	eventlooptest.Do(l, func() { r.idle = true })
	if _, err := peer.Write(make([]byte, size)); err != nil {
		t.Fatal(err)
	}
	awaitOnLoop(t, l, "reading pauses", func() bool { return interestOf(r.conn) == 0 })
	eventlooptest.Do(l, func() {
		r.conn.Close()
		l.Post(func() {
			if got := r.conn.UnreadBytes(); got != 0 {
				t.Errorf("%d bytes are still in the buffer", got)
			}
			interest := interestOf(r.conn)
			if interest != readEvents {
				t.Errorf("the poller waits for events %#x, want %#x", interest, readEvents)
			}
		})
	})
	awaitEnd(t, r.closed, "the connection")
}

// CloseAfterLinger sends what is pending, although the poller no longer waits for bytes to read.
func TestCloseAfterLinger_SendsPendingBytes(t *testing.T) {
	l, r, peer := connectedPair(t)
	eventlooptest.Do(l, func() {
		acceptAgain := refuseWrites(r.conn)
		r.conn.Write([]byte("response"))
		r.conn.CloseAfterLinger()
		acceptAgain()
	})
	if got, err := io.ReadAll(peer); string(got) != "response" || err != nil {
		t.Errorf("the peer read %q, then %v", got, err)
	}
	awaitEnd(t, r.closed, "the connection")
}

// Bytes that were not consumed before the end count no more after it.
func TestOnClosed_ReleasesUnreadBytes(t *testing.T) {
	l, r, peer := connectedPair(t)
	eventlooptest.Do(l, func() { r.idle = true })
	if _, err := io.WriteString(peer, "part of a request"); err != nil {
		t.Fatal(err)
	}
	awaitOnLoop(t, l, "the bytes are read", func() bool { return r.conn.UnreadBytes() > 0 })
	if err := peer.Close(); err != nil {
		t.Fatal(err)
	}
	awaitEnd(t, r.closed, "the connection")
	if got := l.BufferedBytes(); got != 0 {
		t.Errorf("%d bytes still counted as buffered", got)
	}
}
