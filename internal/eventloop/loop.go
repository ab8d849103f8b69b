// Package eventloop runs the program's sockets and timers. One poller reads into
// the buffer of each connection; everything else, the handlers above all, happens on
// the one goroutine that calls Loop.Run.
package eventloop

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"flaxrelay/internal/timerqueue"
)

// defaultBufferBudget is the BufferBudget of a new loop, in bytes.
const defaultBufferBudget = 48 << 20

// maxIdleWait is how long Run sleeps where no timer is due. Any value would do: a
// posted function wakes it.
const maxIdleWait = time.Hour

// pollerShutdownTimeout bounds the wait for the poller at the end of Run.
const pollerShutdownTimeout = 100 * time.Millisecond

// Loop owns the sockets, the timers and the goroutine on which all handlers run. That
// goroutine is the one that calls Run; only Post, Now, Dial, Listen and BufferedBytes
// may be called from others.
type Loop struct {
	// Timers holds the timers that Run fires. It belongs to the loop's goroutine.
	Timers *timerqueue.Queue
	// BufferBudget bounds, in bytes, what the read buffers of all connections hold
	// together. Past it, the next connection to need more than one read is closed. It
	// must be set before Run.
	BufferBudget int64

	startedAt     time.Time
	startedAtUnix time.Duration // startedAt as the time since the Unix epoch
	poller        *poller
	dialer        func(ctx context.Context, network, addr string) (net.Conn, error)
	listen        func(network, addr string) (net.Listener, error)
	bufferedBytes atomic.Int64

	// The loop's goroutine owns these.
	readBuffer  []byte // for reads on this goroutine
	connections map[*Conn]struct{}
	stopped     bool
	recycled    []func() // backing array of the latest turn's functions, for reuse

	wakeUp chan struct{} // holds a value while posted functions wait
	mu     sync.Mutex
	posted []func() // guarded by mu
}

// New returns a loop whose poller runs.
func New() (*Loop, error) {
	now := time.Now()
	l := &Loop{
		Timers:        timerqueue.New(),
		BufferBudget:  defaultBufferBudget,
		startedAt:     now,
		startedAtUnix: time.Duration(now.UnixNano()),
		readBuffer:    make([]byte, readSize),
		connections:   map[*Conn]struct{}{},
		dialer:        new(net.Dialer).DialContext,
		listen:        net.Listen,
		wakeUp:        make(chan struct{}, 1),
	}
	var err error
	if l.poller, err = startPoller(); err != nil {
		return nil, fmt.Errorf("start the poller: %w", err)
	}
	return l, nil
}

// Now returns the time since the Unix epoch by a clock that never goes back: it starts
// at the system's time and is monotonic from there. It may be called from any goroutine.
func (l *Loop) Now() time.Duration { return l.startedAtUnix + time.Since(l.startedAt) }

// Post schedules f to run on the loop's goroutine, after all functions posted before it. It
// may be called from any goroutine.
func (l *Loop) Post(f func()) {
	l.mu.Lock()
	l.posted = append(l.posted, f)
	l.mu.Unlock()
	select {
	case l.wakeUp <- struct{}{}:
	default:
	}
}

// Run runs turns of the loop until Stop. Each turn runs the posted functions and then the timers that
// are due. At the end it closes all connections and the poller.
func (l *Loop) Run() {
	wakeTimer := time.NewTimer(maxIdleWait)
	defer wakeTimer.Stop()
	for !l.stopped {
		l.runPosted()
		l.Timers.RunDue(l.Now())
		if l.stopped { // nothing else might end the wait
			break
		}
		l.wait(wakeTimer)
	}
	l.shutdown()
}

// runPosted runs what was posted before this turn. What these functions post waits for
// the next one, so that timers are not delayed.
func (l *Loop) runPosted() {
	l.mu.Lock()
	work := l.posted
	l.posted = l.recycled[:0]
	l.mu.Unlock()
	for i, f := range work {
		f()
		work[i] = nil
	}
	l.recycled = work[:0]
}

// wait returns once a function is posted or the next timer is due.
func (l *Loop) wait(wakeTimer *time.Timer) {
	delay := maxIdleWait
	if at, ok := l.Timers.NextDue(); ok {
		delay = at - l.Now()
	}
	if delay <= 0 {
		return
	}
	wakeTimer.Reset(delay)
	select {
	case <-l.wakeUp:
	case <-wakeTimer.C:
	}
}

func (l *Loop) shutdown() {
	for c := range l.connections {
		c.Abort()
	}
	l.poller.stop(pollerShutdownTimeout) // one that takes longer ends with the process
}

// Stop ends Run after the present turn. It is for the loop's goroutine.
func (l *Loop) Stop() { l.stopped = true }

// BufferedBytes returns how much the read buffers of all connections hold. It may be
// called from any goroutine.
func (l *Loop) BufferedBytes() int64 { return l.bufferedBytes.Load() }
