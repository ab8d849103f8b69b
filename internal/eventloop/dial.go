package eventloop

import (
	"context"
	"time"
)

// Dial connects within the timeout and calls done on the loop's goroutine. The handler's
// methods are not called before done has returned; the read buffer of the connection
// holds up to readLimit bytes. The returned function cancels the dial; done is called
// all the same.
func (l *Loop) Dial(addr string, timeout time.Duration, readLimit int, h Handler, done func(*Conn, error)) (cancel func()) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	go func() {
		s, err := l.connect(ctx, addr)
		cancel()
		l.Post(func() {
			if err != nil {
				done(nil, err)
				return
			}
			done(l.adopt(s, readLimit, func(*Conn) Handler { return h }, func() {}))
		})
	}()
	return cancel
}

const (
	// dialRetryTime is how long a dial is tried again that fails on this machine. It is short
	// beside the time that requests have.
	dialRetryTime = 100 * time.Millisecond
	// dialRetryDelay is the pause before the first of these attempts; it doubles.
	dialRetryDelay = 2 * time.Millisecond
)

// connect dials and makes the connection a socket. What fails for want of something on this
// machine, and says nothing of the peer, is tried again for a while.
func (l *Loop) connect(ctx context.Context, addr string) (*socket, error) {
	giveUpAt := time.Now().Add(dialRetryTime)
	for delay := dialRetryDelay; ; delay *= 2 {
		s, err := l.connectOnce(ctx, addr)
		if err == nil || !mayPass(err) || time.Now().Add(delay).After(giveUpAt) {
			return s, err
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(delay):
		}
	}
}

func (l *Loop) connectOnce(ctx context.Context, addr string) (*socket, error) {
	conn, err := l.dialer(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	s, err := convert(conn)
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return s, nil
}
