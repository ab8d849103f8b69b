package eventloop

import (
	"errors"
	"io"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"flaxrelay/internal/eventloop/eventlooptest"
)

// refuseWrites has the kernel accept no byte of the connection until the returned function is called. Both belong to
// the loop's goroutine.
func refuseWrites(c *Conn) (acceptAgain func()) {
	setSystem(c, systemCalls{read: unix.Read, write: func(int, []byte) (int, error) { return -1, unix.EAGAIN }})
	return func() { setSystem(c, kernel) }
}

// A function given to OnFlushed runs on a later turn, once all bytes are sent, and only once.
func TestOnFlushed_RunsOnceAllBytesAreSent(t *testing.T) {
	for _, test := range []struct {
		name    string
		pending string
	}{
		{"nothing pending", ""},
		{"bytes pending", "response"},
	} {
		t.Run(test.name, func(t *testing.T) {
			l, r, peer := connectedPair(t)
			calls, pendingAtCall := 0, -1
			var acceptAgain func()
			eventlooptest.Do(l, func() {
				acceptAgain = refuseWrites(r.conn)
				r.conn.Write([]byte(test.pending))
				r.conn.OnFlushed(func() { calls, pendingAtCall = calls+1, r.conn.PendingWrite() })
				if calls > 0 {
					t.Error("called on the turn of OnFlushed")
				}
			})
			eventlooptest.Do(l, func() {
				if test.pending != "" && calls > 0 {
					t.Error("called while bytes are pending")
				}
				acceptAgain()
			})
			awaitOnLoop(t, l, "OnFlushed calls its function", func() bool { return calls > 0 })
			if pendingAtCall != 0 {
				t.Errorf("%d bytes pending when it was called", pendingAtCall)
			}
			eventlooptest.Do(l, func() { r.conn.Write([]byte(" more")) })
			got := make([]byte, len(test.pending+" more"))
			if _, err := io.ReadFull(peer, got); err != nil || string(got) != test.pending+" more" {
				t.Errorf("the peer read %q, then %v", got, err)
			}
			eventlooptest.Do(l, func() {})
			eventlooptest.Do(l, func() {
				if calls != 1 {
					t.Errorf("%d calls, want 1", calls)
				}
			})
		})
	}
}

// A peer that reads too slowly ends its connection: the write that exceeds the limit fails.
func TestWrite_EndsAConnectionBeyondTheQueueLimit(t *testing.T) {
	l, r, _ := connectedPair(t)
	eventlooptest.Do(l, func() {
		refuseWrites(r.conn)
		if !r.conn.Write(make([]byte, maxPendingWrite)) {
			t.Error("a write up to the limit failed")
		}
		if got := r.conn.PendingWrite(); got != maxPendingWrite {
			t.Errorf("%d bytes pending, want %d", got, maxPendingWrite)
		}
		if r.conn.Write([]byte("x")) {
			t.Error("a write beyond the limit was accepted")
		}
	})
	if err := <-r.closed; !errors.Is(err, errWriteQueueFull) {
		t.Errorf("closed with %v, want %v", err, errWriteQueueFull)
	}
}

// Close sends what is pending before it ends the stream, and drops the function given to OnFlushed.
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
	if err := <-r.closed; err != nil {
		t.Errorf("closed with %v", err)
	}
}

// Each close bounds the time that the connection lasts: by the time to drain while bytes are pending, else by the
// time to linger.
func TestClose_LastsNoLongerThanItsLimit(t *testing.T) {
	for _, test := range []struct {
		name    string
		pending bool
		close   func(*Conn)
		want    time.Duration
	}{
		{"Close with pending bytes", true, (*Conn).Close, maxDrainTime},
		{"Close", false, (*Conn).Close, lingerTime},
		{"CloseAfterLinger with pending bytes", true, (*Conn).CloseAfterLinger, lingerTime},
		{"CloseAfterLinger", false, (*Conn).CloseAfterLinger, lingerTime},
		{"CloseIfIdle with pending bytes", true, func(c *Conn) { c.CloseIfIdle() }, maxDrainTime},
		{"CloseIfIdle", false, func(c *Conn) { c.CloseIfIdle() }, lingerTime},
	} {
		t.Run(test.name, func(t *testing.T) {
			l, r, _ := connectedPair(t)
			eventlooptest.Do(l, func() {
				if test.pending {
					refuseWrites(r.conn)
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
					t.Error("the connection has not ended when its time is up")
				}
			})
			if err := <-r.closed; err != nil {
				t.Errorf("closed with %v", err)
			}
		})
	}
}

// After a Close with pending bytes, the write side is shut once they are sent, and the peer has the linger time then.
func TestClose_LingersOnceThePendingBytesAreSent(t *testing.T) {
	l, r, peer := connectedPair(t)
	eventlooptest.Do(l, func() {
		acceptAgain := refuseWrites(r.conn)
		r.conn.Write([]byte("response"))
		r.conn.Close()
		acceptAgain()
		r.conn.socket.flush()
		l.Post(func() { // on the turn on which the connection learns that nothing is pending
			due, ok := l.Timers.NextDue()
			if !ok || due > l.Now()+lingerTime || l.Timers.Len() != 2 {
				t.Errorf("%d timers, the first in %v; want two, the first in %v at most",
					l.Timers.Len(), due-l.Now(), lingerTime)
			}
		})
	})
	if got, err := io.ReadAll(peer); string(got) != "response" || err != nil {
		t.Errorf("the peer read %q, then %v", got, err)
	}
	awaitEnd(t, r.closed, "the connection")
}

// Bytes that are written after OnFlushed's function was scheduled, and before it runs, are waited for too.
func TestOnFlushed_WaitsForBytesWrittenMeanwhile(t *testing.T) {
	l, r, _ := connectedPair(t)
	flushed := make(chan struct{})
	var acceptAgain func()
	eventlooptest.Do(l, func() {
		r.conn.OnFlushed(func() {
			if got := r.conn.PendingWrite(); got != 0 {
				t.Errorf("called while %d bytes are pending", got)
			}
			close(flushed)
		})
		acceptAgain = refuseWrites(r.conn)
		r.conn.Write([]byte("response"))
	})
	eventlooptest.Do(l, func() { acceptAgain() })
	awaitEnd(t, flushed, "the wait of OnFlushed's function")
	if got := interestOf(r.conn); got != readEvents {
		t.Errorf("the poller waits for events %#x once all is sent, want %#x", got, readEvents)
	}
}
