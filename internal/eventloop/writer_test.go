package eventloop

import (
	"io"
	"testing"

	"flaxrelay/internal/eventloop/eventlooptest"
)

// A function given to OnFlushed runs on a later turn, after all bytes are sent. It runs only once.
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
			calls := 0
			pendingAtCall := -1
			var unblock func()
			eventlooptest.Do(l, func() {
				unblock = blockWrites(r.conn)
				r.conn.Write([]byte(test.pending))
				r.conn.OnFlushed(func() {
					calls++
					pendingAtCall = r.conn.PendingWrite()
				})
				if calls > 0 {
					t.Error("the function was called on the same turn as OnFlushed")
				}
			})
			eventlooptest.Do(l, func() {
				if test.pending != "" && calls > 0 {
					t.Error("the function was called while bytes are pending")
				}
				unblock()
			})
			awaitOnLoop(t, l, "OnFlushed calls its function", func() bool { return calls > 0 })
			if pendingAtCall != 0 {
				t.Errorf("%d bytes were pending when the function was called", pendingAtCall)
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

// A connection whose peer reads too slowly is ended: the write that exceeds the limit fails.
func TestWrite_EndsAConnectionBeyondTheQueueLimit(t *testing.T) {
	l, r, _ := connectedPair(t)
	eventlooptest.Do(l, func() {
		blockWrites(r.conn)
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
	checkEnd(t, r, errWriteQueueFull)
}

// Bytes that are written after OnFlushed's function was scheduled, and before the function runs, are sent first, too.
func TestOnFlushed_WaitsForBytesWrittenMeanwhile(t *testing.T) {
	l, r, _ := connectedPair(t)
	flushed := make(chan struct{})
	var unblock func()
	eventlooptest.Do(l, func() {
		r.conn.OnFlushed(func() {
			if got := r.conn.PendingWrite(); got != 0 {
				t.Errorf("the function was called while %d bytes are pending", got)
			}
			close(flushed)
		})
		unblock = blockWrites(r.conn)
		r.conn.Write([]byte("response"))
	})
	eventlooptest.Do(l, func() { unblock() })
	await(t, flushed, "the call of OnFlushed's function")
	checkInterest(t, r.conn, readEvents)
}
