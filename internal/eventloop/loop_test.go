package eventloop

import (
	"io"
	"net"
	"runtime"
	"testing"
	"time"
)

const patience = 10 * time.Second

// recorder is a handler that keeps what it is told.
type recorder struct {
	conn   *Conn
	data   []string
	closed chan error
}

func (r *recorder) OnData(_ *Conn, in *Buffer) {
	r.data = append(r.data, string(in.Bytes()))
	in.Consume(in.Len())
}

func (r *recorder) OnClosed(_ *Conn, err error) { r.closed <- err }

// pair is a loop with one accepted connection, and its peer.
func pair(t *testing.T) (l *Loop, r *recorder, peer *net.TCPConn) {
	t.Helper()
	l, err := New(256)
	if err != nil {
		t.Fatal(err)
	}
	accepted := make(chan *recorder, 1)
	ln, err := l.Listen("127.0.0.1:0", 64<<10, 0, func(c *Conn) Handler {
		r := &recorder{conn: c, closed: make(chan error, 1)}
		accepted <- r
		return r
	})
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{})
	go func() { l.Run(); close(ended) }()
	t.Cleanup(func() { ln.Close(); l.Post(l.Stop); <-ended })
	c, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	_ = c.SetDeadline(time.Now().Add(patience))
	return l, <-accepted, c.(*net.TCPConn)
}

// do runs f on the loop's goroutine, which does nothing else meanwhile.
func do(l *Loop, f func()) {
	done := make(chan struct{})
	l.Post(func() { f(); close(done) })
	<-done
}

// Bytes that were read just before Close are not handed on after it: their sender is
// told of the close alone, and would have them acted on twice.
func TestDataThatCrossesClose(t *testing.T) {
	l, r, peer := pair(t)
	do(l, func() {
		_, _ = io.WriteString(peer, "a call")
		for l.BufferedBytes() == 0 { // the poller has it, and the handler can't be told yet
			runtime.Gosched()
		}
		r.conn.Close()
	})
	if _, err := io.ReadAll(peer); err != nil {
		t.Errorf("the peer saw %v, want the end", err)
	}
	peer.Close()
	<-r.closed
	do(l, func() {
		if len(r.data) > 0 {
			t.Errorf("told of %q after Close", r.data)
		}
		if n := l.BufferedBytes(); n != 0 {
			t.Errorf("%d bytes still counted as held", n)
		}
	})
}

// Bytes that come after the last answer do not reset the connection over it.
func TestCloseOverUnreadBytes(t *testing.T) {
	l, r, peer := pair(t)
	do(l, func() {
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

// A peer that goes on writing and never closes holds a closed connection for a moment only.
func TestCloseEndsWithoutThePeer(t *testing.T) {
	l, r, peer := pair(t)
	do(l, r.conn.Close)
	go func() {
		for {
			if _, err := peer.Write(make([]byte, 64<<10)); err != nil {
				return
			}
		}
	}()
	select {
	case <-r.closed:
	case <-time.After(patience):
		t.Error("the connection is still open")
	}
}

// Stop by the last timer ends Run at once: nothing else would end its wait.
func TestStopByTheLastTimer(t *testing.T) {
	l, err := New(64)
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{})
	go func() { l.Run(); close(ended) }()
	do(l, func() { l.Timers.Schedule(l.Now()+20*time.Millisecond, l.Stop) })
	select {
	case <-ended:
	case <-time.After(patience):
		t.Fatal("Run goes on")
	}
}
