package eventloop

import (
	"bytes"
	"errors"
	"io"
	"math/rand/v2"
	"testing"

	"golang.org/x/sys/unix"

	"flaxrelay/internal/eventloop/eventlooptest"
)

// faultySystem makes the kernel's calls, cut short, interrupted and turned away at random,
// although the socket has room. After limit bytes are written, writes fail with failure.
func faultySystem(limit int, failure error) systemCalls {
	random := rand.New(rand.NewPCG(1, 1))
	written := 0
	fault := func(p []byte, call func([]byte) (int, error)) (int, error) {
		switch random.IntN(4) {
		case 0:
			return -1, unix.EINTR
		case 1:
			return -1, unix.EAGAIN
		case 2:
			return call(p[:min(len(p), 60)])
		default:
			return call(p)
		}
	}
	return systemCalls{
		read: func(fd int, p []byte) (int, error) {
			return fault(p, func(p []byte) (int, error) { return unix.Read(fd, p) })
		},
		write: func(fd int, p []byte) (int, error) {
			if limit > 0 && written >= limit {
				return -1, failure
			}
			n, err := fault(p, func(p []byte) (int, error) { return unix.Write(fd, p) })
			written += max(n, 0)
			return n, err
		},
	}
}

// setSystem has the connection make its calls by another system.
func setSystem(c *Conn, calls systemCalls) {
	c.socket.mu.Lock()
	defer c.socket.mu.Unlock()
	c.socket.system = calls
}

// Reads and writes that are cut short, interrupted or turned away, whatever the state of the
// socket, delay bytes and lose none.
func TestFaultyCallsLoseNothing(t *testing.T) {
	l, r, peer := connectedPair(t)
	sent := bytes.Repeat([]byte("0123456789abcdef"), 8<<10) // more than the socket takes at once
	eventlooptest.Do(l, func() {
		setSystem(r.conn, faultySystem(0, nil))
		if !r.conn.Write(sent) {
			t.Error("the write was refused")
		}
	})
	go func() {
		_, _ = peer.Write(sent)
		_ = peer.CloseWrite()
	}()
	got := make([]byte, len(sent))
	if _, err := io.ReadFull(peer, got); err != nil || !bytes.Equal(got, sent) {
		t.Errorf("the peer read %d bytes of %d, then %v", len(got), len(sent), err)
	}
	if err := <-r.closed; err != nil {
		t.Errorf("closed with %v", err)
	}
	eventlooptest.Do(l, func() {
		var received []byte
		for _, data := range r.data {
			received = append(received, data...)
		}
		if !bytes.Equal(received, sent) {
			t.Errorf("%d bytes of %d were read", len(received), len(sent))
		}
		if n := r.conn.PendingWrite(); n != 0 {
			t.Errorf("%d bytes still wait to be sent", n)
		}
	})
}

// A write that fails behind a short one is reported as such, and ends the connection with
// its error.
func TestWriteThatFailsInTheMiddle(t *testing.T) {
	l, r, _ := connectedPair(t)
	eventlooptest.Do(l, func() {
		setSystem(r.conn, systemCalls{read: unix.Read, write: func(fd int, p []byte) (int, error) {
			if len(p) < 1000 {
				return -1, unix.EHOSTUNREACH
			}
			return unix.Write(fd, p[:1])
		}})
		if r.conn.Write(make([]byte, 1000)) {
			t.Error("the write was taken")
		}
	})
	if err := <-r.closed; !errors.Is(err, unix.EHOSTUNREACH) {
		t.Errorf("closed with %v", err)
	}
}

// An event of a socket that was closed meanwhile does not reach the one that has got its
// descriptor.
func TestStaleEventDoesNotReachTheNextSocket(t *testing.T) {
	l, r, _ := connectedPair(t)
	stale, descriptor := r.conn.socket.token, r.conn.socket.descriptor
	eventlooptest.Do(l, r.conn.Abort)
	awaitEnd(t, r.closed, "the first connection")
	next, _ := connectTo(t, l)
	if next.conn.socket.descriptor != descriptor {
		t.Logf("the kernel gave the next socket descriptor %d, not %d", next.conn.socket.descriptor, descriptor)
	}
	if s := l.poller.find(stale); s != nil {
		t.Error("the old token finds a socket")
	}
	if s := l.poller.find(next.conn.socket.token); s != next.conn.socket {
		t.Error("the new token does not find its socket")
	}
}

// A connection that cannot be polled is not handed out: its dial reports the one error, and
// no handler is told of an end.
func TestSocketThatCannotBePolled(t *testing.T) {
	l, r, _ := connectedPair(t)
	eventlooptest.Do(l, func() {
		s := newSocket(-1)
		_, err := l.adopt(s, readSize, func(*Conn) Handler {
			t.Error("a handler was asked for")
			return r
		}, func() { t.Error("an end was reported") })
		if !errors.Is(err, unix.EBADF) {
			t.Errorf("got %v, want EBADF", err)
		}
		if l.poller.find(s.token) != nil {
			t.Error("the poller still has the socket")
		}
	})
}

// What a peer has sent is handed on although a write to it fails: it may be the answer to an
// earlier request.
func TestBytesBeforeAFailedWriteAreHandedOn(t *testing.T) {
	l, r, peer := connectedPair(t)
	eventlooptest.Do(l, func() {
		r.conn.socket.waitFor(0) // the poller does not come first
		if _, err := io.WriteString(peer, "an answer"); err != nil {
			t.Error(err)
		}
		setSystem(r.conn, systemCalls{read: unix.Read, write: func(int, []byte) (int, error) { return -1, unix.EPIPE }})
		if r.conn.Write([]byte("a request")) || r.conn.Write([]byte("another")) {
			t.Error("the write was taken")
		}
	})
	if err := <-r.closed; !errors.Is(err, unix.EPIPE) {
		t.Errorf("closed with %v", err)
	}
	eventlooptest.Do(l, func() {
		if len(r.data) != 1 || r.data[0] != "an answer" {
			t.Errorf("OnData got %q", r.data)
		}
	})
}

// What has been sent does not stay in memory while a peer that reads slowly leaves the queue
// never empty.
func TestWriteQueueForgetsWhatWasSent(t *testing.T) {
	l, r, _ := connectedPair(t)
	const size, writes = 1000, 20000
	eventlooptest.Do(l, func() {
		l.poller.remove(r.conn.socket) // else its goroutine empties the queue
		takes := false
		setSystem(r.conn, systemCalls{read: unix.Read, write: func(_ int, p []byte) (int, error) {
			if takes = !takes; !takes {
				return -1, unix.EAGAIN
			}
			return min(len(p), size), nil // as if the peer had read as much
		}})
		r.conn.Write(make([]byte, 10*size)) // the queue never empties from here on
		for range writes {
			if !r.conn.Write(make([]byte, size)) {
				t.Error("a write was refused")
			}
			r.conn.socket.flush()
		}
		if held, pending := cap(r.conn.socket.queue.data), r.conn.PendingWrite(); held > 4*pending+1<<20 {
			t.Errorf("%d bytes held for %d that wait", held, pending)
		}
		r.conn.Abort()
	})
}

// If the peer has ended the stream, that counts as the reason of the end, and not the write that failed after it.
func TestWrite_ReportsThePeersEndBeforeItsFailure(t *testing.T) {
	l, r, peer := connectedPair(t)
	eventlooptest.Do(l, func() {
		r.conn.socket.waitFor(0) // the poller does not read first
		if _, err := io.WriteString(peer, "a response"); err != nil {
			t.Error(err)
		}
		if err := peer.Close(); err != nil {
			t.Error(err)
		}
		setWrite(r.conn, func(int, []byte) (int, error) { return -1, unix.EPIPE })
		if r.conn.Write([]byte("a request")) {
			t.Error("the write was accepted")
		}
	})
	if err := <-r.closed; err != nil {
		t.Errorf("closed with %v", err)
	}
	checkData(t, l, r, "a response")
}
