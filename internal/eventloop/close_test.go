package eventloop

import (
	"io"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"flaxrelay/internal/eventloop/eventlooptest"
)

// Bytes that were read just before Close are not delivered after Close: the peer sees only that the connection is
// closed, and may send the bytes again.
func TestClose_DropsBytesReadJustBefore(t *testing.T) {
	l, r, peer := connectedPair(t)
	eventlooptest.Do(l, func() {
		send(t, peer, "a request")
		awaitPoller(t, "the bytes are read", func() bool { return l.BufferedBytes() > 0 })
		r.conn.Close()
	})
	checkPeerReads(t, peer, "")
	_ = peer.Close()
	awaitEnd(t, r)
	eventlooptest.Do(l, func() {
		if len(r.data) > 0 {
			t.Errorf("OnData got %q after Close", r.data)
		}
		if n := l.BufferedBytes(); n != 0 {
			t.Errorf("%d bytes still counted as buffered", n)
		}
	})
}

// Bytes that arrive after the last response do not reset the connection before the peer has read it.
func TestClose_DoesNotResetOverUnreadBytes(t *testing.T) {
	l, r, peer := connectedPair(t)
	eventlooptest.Do(l, func() {
		r.conn.Write([]byte("response"))
		r.conn.Close()
		for range 3 {
			send(t, peer, "more")
		}
	})
	checkPeerReads(t, peer, "response")
}

// A closed connection ends although its peer continues to write and never closes the connection.
func TestClose_EndsWithoutThePeer(t *testing.T) {
	l, r, peer := connectedPair(t)
	eventlooptest.Do(l, r.conn.Close)
	go func() {
		for {
			if _, err := peer.Write(make([]byte, readLimit)); err != nil {
				return
			}
		}
	}()
	awaitEnd(t, r)
}

// A second close has no effect, a write to a closing connection is rejected, and the handler is notified of the end
// once.
func TestClose_ChangesTheStateOnce(t *testing.T) {
	for _, test := range []struct {
		name  string
		close func(*Conn)
		want  connState
	}{
		{"Close", (*Conn).Close, connClosing},
		{"CloseAfterLinger", (*Conn).CloseAfterLinger, connLingering},
		{"Close, then CloseAfterLinger", func(c *Conn) { c.Close(); c.CloseAfterLinger() }, connClosing},
		{"CloseAfterLinger, then Close", func(c *Conn) { c.CloseAfterLinger(); c.Close() }, connLingering},
		{"CloseIfIdle", func(c *Conn) { c.CloseIfIdle() }, connClosing},
		{"Close, then CloseIfIdle", func(c *Conn) { c.Close(); c.CloseIfIdle() }, connClosing},
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
					t.Error("a closing connection accepted a write")
				}
			})
			awaitEnd(t, r)
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

// A connection is closed as idle only if all bytes that have arrived on it are consumed. Bytes that have arrived and
// that the poller has not read are delivered instead.
func TestCloseIfIdle_DeliversUnreadBytesInstead(t *testing.T) {
	l, r, peer := connectedPair(t)
	eventlooptest.Do(l, func() {
		r.conn.socket.setReadInterest(noReadEvents) // the poller does not read
		send(t, peer, "a request")
		if r.conn.CloseIfIdle() { // on loopback, the bytes have arrived once the peer's write returns
			t.Error("the connection was closed although bytes had arrived")
		}
	})
	checkData(t, l, r, "a request")
	eventlooptest.Do(l, func() {
		if !r.conn.CloseIfIdle() {
			t.Error("an idle connection was not closed")
		}
	})
	checkPeerReads(t, peer, "")
}

// What a peer sends after Close is read and dropped, up to the size of a read buffer. Without this limit, the bytes of
// a peer that never stops would be read at full speed, only to be dropped.
func TestClose_DiscardsNoMoreThanABuffer(t *testing.T) {
	l, r, peer := connectedPair(t)
	discarded := func() int {
		r.conn.reader.mu.Lock()
		defer r.conn.reader.mu.Unlock()
		return r.conn.reader.discarded
	}
	eventlooptest.Do(l, func() { // blocks the loop, so that no timer ends the connection meanwhile
		r.conn.Close()
		send(t, peer, make([]byte, 2*readLimit))
		awaitPoller(t, "the limit is exceeded", func() bool { return discarded() > readLimit })
		time.Sleep(20 * time.Millisecond) // long enough for a read beyond the limit
		if got := discarded(); got > readLimit+readSize {
			t.Errorf("%d bytes discarded, want at most %d", got, readLimit+readSize)
		}
	})
	awaitEnd(t, r)
}

// OnClosed is called with the error of the peer's reset, even while the socket is not read.
func TestOnClosed_ReportsAReset(t *testing.T) {
	for _, test := range []struct {
		name   string
		events uint32
	}{
		{"reading", readEvents},
		{"waiting only for the end", streamEndEvents},
		{"not reading", noReadEvents},
	} {
		t.Run(test.name, func(t *testing.T) {
			l, r, peer := connectedPair(t)
			eventlooptest.Do(l, func() { r.conn.socket.setReadInterest(test.events) })
			if err := peer.SetLinger(0); err != nil {
				t.Fatal(err)
			}
			if err := peer.Close(); err != nil {
				t.Fatal(err)
			}
			checkEnd(t, r, unix.ECONNRESET)
		})
	}
}

// Close makes space in a full buffer, so that what the peer still sends is read: unread bytes would reset the
// connection.
func TestClose_ReadsOnAfterAFullBuffer(t *testing.T) {
	const size = readLimit + 2*readSize // more than is read before a pause
	l, r, peer := connectedPair(t)
	eventlooptest.Do(l, func() { r.ignoresData = true })
	send(t, peer, make([]byte, size))
	awaitOnLoop(t, l, "reading pauses", func() bool { return interestOf(r.conn) == noReadEvents })
	eventlooptest.Do(l, func() {
		r.conn.Close()
		l.Post(func() {
			if got := r.conn.UnreadBytes(); got != 0 {
				t.Errorf("%d bytes are still in the buffer", got)
			}
			checkInterest(t, r.conn, readEvents)
		})
	})
	awaitEnd(t, r)
}

// CloseAfterLinger sends pending bytes, although the poller no longer waits for bytes to read.
func TestCloseAfterLinger_SendsPendingBytes(t *testing.T) {
	l, r, peer := connectedPair(t)
	eventlooptest.Do(l, func() {
		unblock := blockWrites(r.conn)
		r.conn.Write([]byte("response"))
		r.conn.CloseAfterLinger()
		checkInterest(t, r.conn, unix.EPOLLRDHUP|unix.EPOLLOUT)
		unblock()
	})
	checkPeerReads(t, peer, "response")
	awaitEnd(t, r)
}

// Bytes that were not consumed are no longer counted as buffered after the connection has ended.
func TestOnClosed_ReleasesUnreadBytes(t *testing.T) {
	l, r, peer := connectedPair(t)
	eventlooptest.Do(l, func() { r.ignoresData = true })
	send(t, peer, "part of a request")
	awaitOnLoop(t, l, "the bytes are read", func() bool { return r.conn.UnreadBytes() > 0 })
	if err := peer.Close(); err != nil {
		t.Fatal(err)
	}
	awaitEnd(t, r)
	if got := l.BufferedBytes(); got != 0 {
		t.Errorf("%d bytes still counted as buffered", got)
	}
}

// Close sends pending bytes before it ends the stream, and drops the function given to OnFlushed.
func TestClose_SendsPendingBytesFirst(t *testing.T) {
	l, r, peer := connectedPair(t)
	const size = 6 << 20 // more than the kernel buffers, less than the limit of the queue
	eventlooptest.Do(l, func() {
		if !r.conn.Write(make([]byte, size)) {
			t.Error("the write failed")
		}
		if r.conn.PendingWrite() == 0 {
			t.Error("nothing is pending")
		}
		r.conn.OnFlushed(func() { t.Error("OnFlushed's function was called after Close") })
		r.conn.Close()
	})
	got, err := io.ReadAll(peer)
	if len(got) != size || err != nil {
		t.Errorf("the peer read %d bytes of %d, then %v", len(got), size, err)
	}
	checkEnd(t, r, nil)
}

// Each close method limits the time until the connection ends. CloseAfterLinger limits it to lingerTime. The other
// methods limit it to maxFlushTime if bytes are pending, and to lingerTime otherwise.
func TestClose_LastsNoLongerThanItsLimit(t *testing.T) {
	for _, test := range []struct {
		name    string
		pending bool
		close   func(*Conn)
		want    time.Duration
	}{
		{"Close with pending bytes", true, (*Conn).Close, maxFlushTime},
		{"Close", false, (*Conn).Close, lingerTime},
		{"CloseAfterLinger with pending bytes", true, (*Conn).CloseAfterLinger, lingerTime},
		{"CloseAfterLinger", false, (*Conn).CloseAfterLinger, lingerTime},
		{"CloseIfIdle with pending bytes", true, func(c *Conn) { c.CloseIfIdle() }, maxFlushTime},
		{"CloseIfIdle", false, func(c *Conn) { c.CloseIfIdle() }, lingerTime},
	} {
		t.Run(test.name, func(t *testing.T) {
			l, r, _ := connectedPair(t)
			eventlooptest.Do(l, func() {
				if test.pending {
					blockWrites(r.conn)
					r.conn.Write([]byte("response"))
				}
				before := l.Now()
				test.close(r.conn)
				after := l.Now()
				due, ok := l.Timers.NextDue()
				if !ok || due < before+test.want || due > after+test.want || l.Timers.Len() != 1 {
					t.Errorf("%d timers, the first in %v; want one in %v", l.Timers.Len(), due-before, test.want)
				}
				l.Timers.RunDue(due)
				if !r.conn.Disconnected() {
					t.Error("the connection is not closed after its time limit")
				}
			})
			checkEnd(t, r, nil)
		})
	}
}

// After a Close with pending bytes, the write side is shut once they are sent, and the connection ends lingerTime
// later.
func TestClose_LingersOnceThePendingBytesAreSent(t *testing.T) {
	l, r, peer := connectedPair(t)
	eventlooptest.Do(l, func() {
		unblock := blockWrites(r.conn)
		r.conn.Write([]byte("response"))
		r.conn.Close()
		unblock()
		r.conn.socket.flush()
		l.Post(func() { // runs after writer.flushed, which sets the second timer
			due, ok := l.Timers.NextDue()
			if !ok || due > l.Now()+lingerTime || l.Timers.Len() != 2 {
				t.Errorf("%d timers, the first in %v; want two, the first in %v at most",
					l.Timers.Len(), due-l.Now(), lingerTime)
			}
		})
	})
	checkPeerReads(t, peer, "response")
	awaitEnd(t, r)
}
