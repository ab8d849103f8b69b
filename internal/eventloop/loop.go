package eventloop

import (
	"fmt"
	"net"
	"time"

	"flaxrelay/internal/timerqueue"
)

const (
	// maxIdleWait is how long Run sleeps while no timer is scheduled. Any value works: a posted function wakes Run.
	maxIdleWait = time.Hour

	// pollerShutdownTimeout limits the wait for the poller at the end of Run.
	pollerShutdownTimeout = 100 * time.Millisecond
)

// Loop owns the sockets and the timers, and calls all handlers on the goroutine that calls Run. Only Post, Now, Dial,
// Listen, SetReadBudgets and BufferedBytes may be called from other goroutines.
type Loop struct {
	// Timers holds the timers that Run fires. It must be used only on the loop's goroutine.
	Timers        *timerqueue.Queue
	startedAt     time.Time
	startedAtUnix time.Duration // startedAt as the time since the Unix epoch
	poller        *poller
	dialer        dialer
	listen        func(network, addr string) (net.Listener, error) // net.Listen, except in tests
	tasks         *taskQueue
	// The budgets of accepted and of dialed connections are separate, so that clients cannot use up the memory for the
	// responses of engines.
	acceptedBudget *readBudget
	dialedBudget   *readBudget

	// The fields below are used only on the loop's goroutine.
	scratch     []byte // receives the bytes of one read on this goroutine
	connections map[*Conn]struct{}
	stopped     bool
}

// New returns a loop whose poller is already running. Run must be called to run the loop itself.
func New() (*Loop, error) {
	now := time.Now()
	startedPoller, err := startPoller()
	if err != nil {
		return nil, fmt.Errorf("start the poller: %w", err)
	}
	l := &Loop{
		Timers:        timerqueue.New(),
		startedAt:     now,
		startedAtUnix: time.Duration(now.UnixNano()),
		poller:        startedPoller,
		dialer:        dialer{dialContext: new(net.Dialer).DialContext},
		listen:        net.Listen,
		tasks:         newTaskQueue(),
		scratch:       make([]byte, readSize),
		connections:   map[*Conn]struct{}{},
	}
	l.acceptedBudget = newReadBudget(l)
	l.dialedBudget = newReadBudget(l)
	return l, nil
}

// SetReadBudgets limits the total size of the read buffers of all accepted connections and that of all dialed
// connections, in bytes. Each should exceed readSize for each connection, and the size of the largest message. While a
// budget is used up, connections that have buffered less than readSize bytes are read on; the others wait.
// SetReadBudgets may be called from any goroutine.
func (l *Loop) SetReadBudgets(accepted, dialed int64) {
	l.acceptedBudget.limit.Store(accepted)
	l.dialedBudget.limit.Store(dialed)
}

// Now returns the time since the Unix epoch by a monotonic clock that starts at the system's time. It may be called
// from any goroutine.
func (l *Loop) Now() time.Duration { return l.startedAtUnix + time.Since(l.startedAt) }

// Post schedules f to run on the loop's goroutine, after all functions posted before it. It may be called from any
// goroutine.
func (l *Loop) Post(f func()) { l.tasks.post(f) }

// Run runs turns of the loop until Stop. Each turn runs the posted functions and then the timers that are due. Before
// Run returns, it closes all connections, without a call of Handler.OnClosed, and stops the poller.
func (l *Loop) Run() {
	wakeTimer := time.NewTimer(maxIdleWait)
	defer wakeTimer.Stop()
	for !l.stopped {
		l.tasks.runPosted()
		l.Timers.RunDue(l.Now())
		if l.stopped { // otherwise wait might block for maxIdleWait
			break
		}
		l.wait(wakeTimer)
	}
	l.shutdown()
}

// wait blocks until a function is posted or the next timer is due.
func (l *Loop) wait(wakeTimer *time.Timer) {
	delay := maxIdleWait
	if due, ok := l.Timers.NextDue(); ok {
		delay = due - l.Now()
	}
	if delay <= 0 {
		return
	}
	wakeTimer.Reset(delay)
	select {
	case <-l.tasks.wakeUp:
	case <-wakeTimer.C:
	}
}

// shutdown closes all connections and stops the poller.
func (l *Loop) shutdown() {
	for c := range l.connections {
		c.Abort()
	}
	l.poller.stop(pollerShutdownTimeout) // a poller that takes longer may run until the process exits
}

// Stop makes Run return after the current turn.
func (l *Loop) Stop() { l.stopped = true }

// BufferedBytes returns the number of bytes in the read buffers of all connections. It may be called from any
// goroutine.
func (l *Loop) BufferedBytes() int64 {
	return l.acceptedBudget.buffered.Load() + l.dialedBudget.buffered.Load()
}
