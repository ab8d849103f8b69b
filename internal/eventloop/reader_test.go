package eventloop

import (
	"testing"
	"time"

	"flaxrelay/internal/eventloop/eventlooptest"
)

// A read that started before its connection was closed may end after the close. Its bytes must not count against the
// buffer budget. They must not end the linger time either, in which the peer can read the last response.
func TestRead_DiscardsBytesThatCrossAClose(t *testing.T) {
	for name, closeConn := range map[string]func(*Conn){
		"Close":            (*Conn).Close,
		"CloseAfterLinger": (*Conn).CloseAfterLinger,
	} {
		t.Run(name, func(t *testing.T) {
			l, _ := startLoop(t)
			l.SetReadBudgets(1, readSize)
			r, _ := connectTo(t, l)
			eventlooptest.Do(l, func() {
				closeConn(r.conn)
				r.conn.reader.mu.Lock()
				defer r.conn.reader.mu.Unlock()
				if buffered, _ := r.conn.reader.bufferOrDiscardLocked(make([]byte, 2*readSize)); buffered {
					t.Error("the bytes are buffered for the handler")
				}
				if r.conn.Disconnected() {
					t.Error("the connection is closed before its linger has ended")
				}
			})
			if n := l.BufferedBytes(); n != 0 {
				t.Errorf("%d bytes counted as buffered", n)
			}
			if err := <-r.closed; err != nil {
				t.Errorf("closed with %v", err)
			}
		})
	}
}

// What a peer sends right before it ends the stream is delivered before the end is reported.
func TestRead_DeliversBytesBeforeTheEnd(t *testing.T) {
	for range 50 {
		l, r, peer := connectedPair(t)
		eventlooptest.Do(l, func() { // the bytes and the end have arrived before the loop continues
			send(t, peer, "a response")
			if err := peer.Close(); err != nil {
				t.Error(err)
			}
			awaitPoller(t, "the end is read", r.conn.Disconnected)
		})
		checkEnd(t, r, nil)
		checkData(t, l, r, "a response")
	}
}

// The disconnect of a client is detected while the read-ahead is limited and reading has paused, as during a request in
// flight, even if the buffer was full before the read-ahead was limited.
func TestLimitReadAhead_NoticesTheEndWhileTheBufferIsFull(t *testing.T) {
	l, r, peer := connectedPair(t)
	eventlooptest.Do(l, func() { r.ignoresData = true })
	send(t, peer, make([]byte, readLimit+2*readSize)) // more than is read before a pause
	awaitOnLoop(t, l, "reading pauses", func() bool { return interestOf(r.conn) == noReadEvents })
	eventlooptest.Do(l, func() {
		r.conn.LimitReadAhead()
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
		t.Error("the disconnect was not detected")
	}
}

// Reading pauses while the buffer is full, and resumes once the handler has consumed bytes.
func TestRead_PausesWhileTheBufferIsFull(t *testing.T) {
	const size = 300 << 10
	l, r, peer := connectedPair(t)
	eventlooptest.Do(l, func() { r.ignoresData = true })
	go func() { _, _ = peer.Write(make([]byte, size)) }()
	awaitOnLoop(t, l, "the buffer is full", func() bool { return r.conn.UnreadBytes() >= readLimit })
	time.Sleep(20 * time.Millisecond) // long enough for a read beyond the limit
	eventlooptest.Do(l, func() {
		if got := r.conn.UnreadBytes(); got >= readLimit+readSize || int64(got) != l.BufferedBytes() {
			t.Errorf("%d bytes are unread with a limit of %d; %d are counted", got, readLimit, l.BufferedBytes())
		}
		r.ignoresData = false
		r.conn.Redeliver()
	})
	awaitOnLoop(t, l, "all bytes are delivered", func() bool {
		received := 0
		for _, data := range r.data {
			received += len(data)
		}
		return received == size
	})
	if got := l.BufferedBytes(); got != 0 {
		t.Errorf("%d bytes still counted as buffered", got)
	}
}

// With a limited read-ahead, fewer bytes than two reads are buffered. Redeliver resumes reading once the limit is
// lifted.
func TestLimitReadAhead_HoldsUntilItIsLifted(t *testing.T) {
	l, r, peer := connectedPair(t)
	eventlooptest.Do(l, func() {
		r.ignoresData = true
		r.conn.LimitReadAhead()
	})
	go func() { _, _ = peer.Write(make([]byte, 300<<10)) }()
	awaitOnLoop(t, l, "one read is buffered", func() bool { return r.conn.UnreadBytes() >= readSize })
	time.Sleep(20 * time.Millisecond) // long enough for a read beyond the limit
	eventlooptest.Do(l, func() {
		if got := r.conn.UnreadBytes(); got >= 2*readSize {
			t.Errorf("%d bytes are unread, want less than %d", got, 2*readSize)
		}
		r.conn.LiftReadAheadLimit()
		r.conn.Redeliver()
	})
	awaitOnLoop(t, l, "the rest is read", func() bool { return r.conn.UnreadBytes() >= readLimit })
}

// Bytes that waited in the kernel keep the time at which the kernel received them. The arrival time of later bytes is
// the time of the read.
func TestArrivedAt_CountsTheWaitInTheKernel(t *testing.T) {
	const wait = 300 * time.Millisecond
	l, r, peer := connectedPair(t)
	eventlooptest.Do(l, func() { r.conn.socket.setReadInterest(noReadEvents) })
	sentAt := l.Now()
	send(t, peer, "early")
	time.Sleep(wait)
	eventlooptest.Do(l, func() { r.conn.socket.setReadInterest(readEvents) })
	awaitOnLoop(t, l, "the bytes are delivered", func() bool { return len(r.data) == 1 })
	if age := r.arrivedAt[0] - sentAt; age < -wait/2 || age > wait/2 {
		t.Errorf("the first bytes arrived %v after they were sent", age)
	}
	eventlooptest.Do(l, func() { r.conn.socket.setReadInterest(noReadEvents) })
	send(t, peer, "late")
	time.Sleep(20 * time.Millisecond)
	readAt := l.Now()
	eventlooptest.Do(l, func() { r.conn.socket.setReadInterest(readEvents) })
	awaitOnLoop(t, l, "the bytes are delivered", func() bool { return len(r.data) == 2 })
	if r.arrivedAt[1] < readAt {
		t.Errorf("the second bytes arrived %v before they were read", readAt-r.arrivedAt[1])
	}
}

// Bytes of several reads before the handler is called are delivered by one call.
func TestRead_PostsOneDeliveryForSeveralReads(t *testing.T) {
	l, r, peer := connectedPair(t)
	eventlooptest.Do(l, func() {
		for _, part := range []string{"first, ", "second"} {
			before := l.BufferedBytes()
			send(t, peer, part)
			awaitPoller(t, "the part is read", func() bool { return l.BufferedBytes() > before })
		}
	})
	checkData(t, l, r, "first, second")
}

// Bytes that waited for space in the buffer keep the time at which the kernel received them.
func TestArrivedAt_CountsTheWaitForSpace(t *testing.T) {
	const wait = 300 * time.Millisecond
	l, r, peer := connectedPair(t)
	eventlooptest.Do(l, func() { r.ignoresData = true })
	send(t, peer, make([]byte, readLimit))
	awaitOnLoop(t, l, "the buffer is full", func() bool { return r.conn.UnreadBytes() == readLimit })
	sentAt := l.Now()
	send(t, peer, "waiting")
	awaitOnLoop(t, l, "reading pauses", func() bool { return interestOf(r.conn) == noReadEvents })
	time.Sleep(wait)
	eventlooptest.Do(l, func() {
		r.ignoresData = false
		r.conn.Redeliver()
	})
	awaitOnLoop(t, l, "the bytes are delivered", func() bool { return len(r.data) == 2 })
	if age := r.arrivedAt[1] - sentAt; age < -wait/2 || age > wait/2 {
		t.Errorf("the bytes arrived %v after they were sent", age)
	}
}
