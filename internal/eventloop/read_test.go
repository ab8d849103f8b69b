package eventloop

import (
	"errors"
	"runtime"
	"testing"
	"time"

	"flaxrelay/internal/eventloop/eventlooptest"
)

// Past the budget of all buffers, a connection that needs more than one read is closed,
// and what it held counts no more. A close by its handler meanwhile changes nothing.
func TestBufferBudgetClosesTheConnection(t *testing.T) {
	for _, test := range []struct {
		name  string
		close func(*Conn)
	}{
		{"by itself", nil},
		{"and Close", (*Conn).Close},
		{"and CloseAfterLinger", (*Conn).CloseAfterLinger},
	} {
		t.Run(test.name, func(t *testing.T) {
			l, _ := startLoop(t)
			eventlooptest.Do(l, func() { l.BufferBudget = 1 })
			r, peer := connectTo(t, l)
			eventlooptest.Do(l, func() {
				r.idle = true
				// An error is the reset by the closed connection.
				_, _ = peer.Write(make([]byte, 2*readSize))
				for !r.conn.Disconnected() { // the poller has closed it, and the loop is here
					runtime.Gosched()
				}
				if test.close != nil {
					test.close(r.conn)
				}
			})
			if err := <-r.closed; !errors.Is(err, errBufferBudgetExceeded) {
				t.Errorf("closed with %v, want %v", err, errBufferBudgetExceeded)
			}
			if n := l.BufferedBytes(); n != 0 {
				t.Errorf("%d bytes still counted as buffered", n)
			}
			eventlooptest.Do(l, func() {
				if got := r.conn.loadState(); got != connClosed {
					t.Errorf("state %d at the end, want %d", got, connClosed)
				}
			})
		})
	}
}

// TestReadThatCrossesACloseIsDiscarded forces a read that has begun before its connection
// was closed and ends after: its bytes must neither count against the buffer budget nor
// end the linger, in which the peer reads the last response.
func TestReadThatCrossesACloseIsDiscarded(t *testing.T) {
	for name, closeConn := range map[string]func(*Conn){
		"Close":            (*Conn).Close,
		"CloseAfterLinger": (*Conn).CloseAfterLinger,
	} {
		t.Run(name, func(t *testing.T) {
			l, _ := startLoop(t)
			eventlooptest.Do(l, func() { l.BufferBudget = 1 })
			r, _ := connectTo(t, l)
			eventlooptest.Do(l, func() {
				closeConn(r.conn)
				r.conn.mu.Lock()
				defer r.conn.mu.Unlock()
				if delivery, _ := r.conn.take(make([]byte, 2*readSize)); delivery {
					t.Error("the bytes are to be handed to the handler")
				}
				if r.conn.Disconnected() {
					t.Error("the connection is closed before its linger has ended")
				}
			})
			if n := l.BufferedBytes(); n != 0 {
				t.Errorf("%d bytes counted as buffered", n)
			}
			if err := <-r.closed; errors.Is(err, errBufferBudgetExceeded) {
				t.Errorf("closed with %v", err)
			}
		})
	}
}

// What a peer sends right before it ends the stream is handed on before the end is told.
func TestBytesBeforeTheEndAreHandedOn(t *testing.T) {
	for range 50 {
		l, r, peer := connectedPair(t)
		eventlooptest.Do(l, func() { // both have arrived before the loop goes on
			if _, err := peer.Write([]byte("an answer")); err != nil {
				t.Error(err)
			}
			if err := peer.Close(); err != nil {
				t.Error(err)
			}
			for !r.conn.Disconnected() {
				runtime.Gosched()
			}
		})
		if err := <-r.closed; err != nil {
			t.Errorf("closed with %v", err)
		}
		eventlooptest.Do(l, func() {
			if len(r.data) != 1 || r.data[0] != "an answer" {
				t.Errorf("OnData got %q", r.data)
			}
		})
	}
}

// The end of a client is noticed although its bytes are not read on, as behind a request in
// flight, also where the buffer was full before reading was limited.
func TestFullBufferDoesNotHideTheEnd(t *testing.T) {
	l, r, peer := connectedPair(t)
	eventlooptest.Do(l, func() { r.idle = true })
	const readLimit, unread = 64 << 10, 16 << 10
	if _, err := peer.Write(make([]byte, readLimit+unread)); err != nil {
		t.Fatal(err)
	}
	for l.BufferedBytes() < readLimit {
		runtime.Gosched()
	}
	eventlooptest.Do(l, func() {
		r.conn.LimitReadAhead(true)
		r.conn.Redeliver()
	})
	eventlooptest.Do(l, func() {})
	if err := peer.Close(); err != nil {
		t.Fatal(err)
	}
	select {
	case err := <-r.closed:
		if err != nil {
			t.Errorf("closed with %v", err)
		}
	case <-time.After(2 * time.Second):
		t.Error("the end was not noticed")
	}
}
