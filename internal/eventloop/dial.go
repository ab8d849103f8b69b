package eventloop

import (
	"context"
	"net"
	"time"
)

const (
	// dialRetryTime is how long the transient failures of a dial are retried. It is short compared with the deadlines
	// of requests.
	dialRetryTime = 100 * time.Millisecond
	// dialRetryDelay is the pause before the first retry. The pause doubles with each retry.
	dialRetryDelay = 2 * time.Millisecond
)

// Dial connects within the timeout and calls done on the loop's goroutine, with the connection or with an error. The
// handler's methods are not called before done has returned. Reading pauses while readLimit or more bytes are unread;
// readLimit must be at least the size of the largest message. The returned function cancels the dial; done is still
// called. Dial may be called from any goroutine.
func (l *Loop) Dial(
	addr string, timeout time.Duration, readLimit int, h Handler, done func(*Conn, error),
) (cancel func()) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	go func() {
		s, err := l.dialer.connect(ctx, addr)
		cancel()
		l.Post(func() {
			if err != nil {
				done(nil, err)
				return
			}
			done(l.adopt(s, l.dialedBudget, readLimit, func(*Conn) Handler { return h }, func() {}))
		})
	}()
	return cancel
}

// dialer connects to peers and returns the sockets. Its methods may be called from any goroutine.
type dialer struct {
	dialContext func(ctx context.Context, network, addr string) (net.Conn, error) // of net.Dialer, except in tests
}

// connect dials and converts the connection to a socket. It retries transient failures for dialRetryTime, since they do
// not indicate a fault of the peer.
func (d dialer) connect(ctx context.Context, addr string) (*socket, error) {
	giveUpAt := time.Now().Add(dialRetryTime)
	for delay := dialRetryDelay; ; delay *= 2 {
		s, err := d.connectOnce(ctx, addr)
		if err == nil || !isTransientDialFailure(err) || time.Now().Add(delay).After(giveUpAt) {
			return s, err
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(delay):
		}
	}
}

// connectOnce is connect without retries.
func (d dialer) connectOnce(ctx context.Context, addr string) (*socket, error) {
	conn, err := d.dialContext(ctx, "tcp", addr)
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
