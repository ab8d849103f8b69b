package eventloop

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"strings"
	"testing"

	"golang.org/x/sys/unix"

	"flaxrelay/internal/eventloop/eventlooptest"
)

// faultySystemCalls returns the real system calls with random faults: some calls are cut short, are interrupted, or
// fail with EAGAIN although the socket is ready.
func faultySystemCalls() systemCalls {
	const shortSize = 60
	random := rand.New(rand.NewPCG(1, 1))
	fault := func(fd int, p []byte, call func(int, []byte) (int, error)) (int, error) {
		switch random.IntN(4) {
		case 0:
			return -1, unix.EINTR
		case 1:
			return -1, unix.EAGAIN
		case 2:
			return call(fd, p[:min(len(p), shortSize)])
		default:
			return call(fd, p)
		}
	}
	return systemCalls{
		read:  func(fd int, p []byte) (int, error) { return fault(fd, p, unix.Read) },
		write: func(fd int, p []byte) (int, error) { return fault(fd, p, unix.Write) },
	}
}

// No bytes are lost, only delayed, if reads and writes are cut short, are interrupted or fail with EAGAIN at any time.
func TestSocket_LosesNothingToFaultyCalls(t *testing.T) {
	l, r, peer := connectedPair(t)
	sent := bytes.Repeat([]byte("0123456789abcdef"), 8<<10) // more than the socket accepts at once
	eventlooptest.Do(l, func() {
		setSystemCalls(r.conn, faultySystemCalls())
		if !r.conn.Write(sent) {
			t.Error("the write was rejected")
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
	checkEnd(t, r, nil)
	eventlooptest.Do(l, func() {
		received := strings.Join(r.data, "")
		if received != string(sent) {
			t.Errorf("%d bytes of %d were read", len(received), len(sent))
		}
		if n := r.conn.PendingWrite(); n != 0 {
			t.Errorf("%d bytes still wait to be sent", n)
		}
	})
}

// A write that fails after a short write is reported as failed, and ends the connection with its error.
func TestWrite_ReportsAFailureAfterAShortWrite(t *testing.T) {
	const size = 1000
	l, r, _ := connectedPair(t)
	eventlooptest.Do(l, func() {
		setWrite(r.conn, func(fd int, p []byte) (int, error) {
			if len(p) < size {
				return -1, unix.EHOSTUNREACH
			}
			return unix.Write(fd, p[:1])
		})
		if r.conn.Write(make([]byte, size)) {
			t.Error("the write was accepted")
		}
	})
	checkEnd(t, r, unix.EHOSTUNREACH)
}

// After a failed write nothing is sent any more, even if the kernel accepts bytes again, and the poller no longer waits
// until the socket can send.
func TestWrite_SendsNothingAfterAFailure(t *testing.T) {
	l, r, peer := connectedPair(t)
	eventlooptest.Do(l, func() {
		unblock := blockWrites(r.conn)
		if !r.conn.Write([]byte("queued")) {
			t.Error("the first write was rejected")
		}
		setWrite(r.conn, func(int, []byte) (int, error) { return -1, unix.EHOSTUNREACH })
		r.conn.socket.flush()
		checkInterest(t, r.conn, readEvents)
		unblock()
		if r.conn.Write([]byte("late")) {
			t.Error("a write after the failure was accepted")
		}
	})
	checkEnd(t, r, unix.EHOSTUNREACH)
	checkPeerReads(t, peer, "")
}

// Bytes that a peer has sent are delivered although a write to the peer fails: they may be the response to an earlier
// request.
func TestWrite_DeliversReceivedBytesBeforeItsFailure(t *testing.T) {
	l, r, peer := connectedPair(t)
	eventlooptest.Do(l, func() {
		r.conn.socket.setReadInterest(noReadEvents) // the poller does not read first
		send(t, peer, "a response")
		setWrite(r.conn, func(int, []byte) (int, error) { return -1, unix.EPIPE })
		if r.conn.Write([]byte("a request")) || r.conn.Write([]byte("another")) {
			t.Error("the write was accepted")
		}
	})
	checkEnd(t, r, unix.EPIPE)
	checkData(t, l, r, "a response")
}

// If the peer has ended the stream, OnClosed is called without an error, although a write fails afterwards.
func TestWrite_ReportsThePeersEndBeforeItsFailure(t *testing.T) {
	l, r, peer := connectedPair(t)
	eventlooptest.Do(l, func() {
		r.conn.socket.setReadInterest(noReadEvents) // the poller does not read first
		send(t, peer, "a response")
		if err := peer.Close(); err != nil {
			t.Error(err)
		}
		setWrite(r.conn, func(int, []byte) (int, error) { return -1, unix.EPIPE })
		if r.conn.Write([]byte("a request")) {
			t.Error("the write was accepted")
		}
	})
	checkEnd(t, r, nil)
	checkData(t, l, r, "a response")
}

// Bytes that were sent do not stay in memory, even if the queue never becomes empty because the peer reads slowly.
func TestSendQueue_ReleasesSentBytes(t *testing.T) {
	const (
		size   = 1000
		writes = 20000
	)
	l, r, _ := connectedPair(t)
	eventlooptest.Do(l, func() {
		l.poller.remove(r.conn.socket) // otherwise its goroutine empties the queue
		accepts := false
		setWrite(r.conn, func(_ int, p []byte) (int, error) {
			if accepts = !accepts; !accepts {
				return -1, unix.EAGAIN
			}
			return min(len(p), size), nil // as if the peer had read this many bytes
		})
		r.conn.Write(make([]byte, 10*size)) // the queue never empties from here on
		for range writes {
			if !r.conn.Write(make([]byte, size)) {
				t.Error("a write was rejected")
			}
			r.conn.socket.flush()
		}
		capacity := cap(r.conn.socket.queue.data)
		if pending := r.conn.PendingWrite(); capacity > 4*pending+1<<20 {
			t.Errorf("%d bytes allocated for %d that wait", capacity, pending)
		}
		r.conn.Abort()
	})
}

// A socket is removed from the poller before its descriptor is closed. Otherwise an epoll_wait that examines the socket
// at that moment keeps it open: the peer is notified of the close only after the next event of any socket. The
// duplicate descriptor prevents the kernel from removing the socket at the close.
func TestSocket_LeavesThePollerBeforeItIsClosed(t *testing.T) {
	l, r, _ := connectedPair(t)
	s := r.conn.socket
	duplicate, err := unix.Dup(s.descriptor)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = unix.Close(duplicate) }()
	if !waitsFor(t, l.poller, s) {
		t.Error("the poller does not wait for an open socket")
	}
	eventlooptest.Do(l, r.conn.Abort)
	if waitsFor(t, l.poller, s) {
		t.Error("the poller still waits for a closed socket")
	}
}

// waitsFor reports whether the kernel lists the socket among those for which the poller waits.
func waitsFor(t *testing.T, p *poller, s *socket) bool {
	t.Helper()
	info, err := os.ReadFile(fmt.Sprintf("/proc/self/fdinfo/%d", p.epoll))
	if err != nil {
		t.Fatal(err)
	}
	return strings.Contains(string(info), fmt.Sprintf(" data: %16x ", s.token))
}

// An event of a closed socket does not reach a new socket that has the same descriptor.
func TestPoller_DropsStaleEvents(t *testing.T) {
	l, r, _ := connectedPair(t)
	stale := r.conn.socket
	eventlooptest.Do(l, r.conn.Abort)
	awaitEnd(t, r)
	next, _ := connectTo(t, l)
	if next.conn.socket.descriptor != stale.descriptor {
		t.Logf("the kernel gave the next socket descriptor %d, not %d", next.conn.socket.descriptor, stale.descriptor)
	}
	if s := l.poller.find(stale.token); s != nil {
		t.Error("the old token finds a socket")
	}
	if s := l.poller.find(next.conn.socket.token); s != next.conn.socket {
		t.Error("the new token does not find its socket")
	}
}

// For a socket that cannot be polled, adopt returns the error and does not call newHandler: a handler would expect a
// call of OnClosed.
func TestAdopt_ClosesASocketThatCannotBePolled(t *testing.T) {
	l, r, _ := connectedPair(t)
	eventlooptest.Do(l, func() {
		s := newSocket(-1)
		_, err := l.adopt(s, l.acceptedBudget, readSize, func(*Conn) Handler {
			t.Error("newHandler was called")
			return r
		}, func() { t.Error("onEnded was called") })
		if !errors.Is(err, unix.EBADF) {
			t.Errorf("got %v, want EBADF", err)
		}
		if l.poller.find(s.token) != nil {
			t.Error("the poller still has the socket")
		}
	})
}
