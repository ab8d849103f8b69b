// Package eventbus receives the changes of the endpoint list from the platform's event bus over one
// TCP connection. New returns a Watcher. After Start, the Watcher notifies its sink of each event.
//
// On each connection the watcher first sends the number of the last event that it has processed, as 8
// bytes. The bus then sends the later events, and heartbeats, as frames (see frames.go). The frame of an
// event contains the records of engines (see records.go).
package eventbus

import (
	"encoding/binary"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"flaxrelay/internal/discovery"
	"flaxrelay/internal/eventloop"
	"flaxrelay/internal/lifecycle"
	"flaxrelay/internal/logevent"
	"flaxrelay/internal/metrics"
	"flaxrelay/internal/timerqueue"
)

const (
	dialTimeout    = time.Second
	initialBackoff = 50 * time.Millisecond
	// defaultMaxBackoff applies if the options do not set MaxBackoff.
	defaultMaxBackoff = 250 * time.Millisecond
	// defaultIdleTimeout is how long a connection may go without receiving data. The bus sends a
	// heartbeat every second.
	defaultIdleTimeout = 2500 * time.Millisecond
	// maxFrameTimeouts limits the time in which a frame may arrive in pieces. The unit is the idle
	// timeout. The endpoint list of a large fleet may arrive slowly if the bus is busy.
	maxFrameTimeouts = 8
)

var (
	errIdleTimeout      = errors.New("no frame for too long")
	errConnectionClosed = errors.New("connection closed")
)

// Options configure a watcher.
type Options struct {
	Address   string // host:port of the event bus
	LastEvent uint64 // the watcher requests the events after the event with this number
	// Zones and Kinds are the names to which records refer by index.
	Zones []string
	Kinds []string
	// MaxBackoff is the longest delay between two attempts to connect; 0: a default. It must be much
	// less than the drain grace. After an outage, the drain grace begins as soon as the bus can be
	// reached again, even if the watcher has not connected yet.
	MaxBackoff time.Duration
}

// watcherState is the state of a watcher's connection to the bus.
type watcherState int

const (
	// stateDisconnected: there is no connection. retryTimer starts the next dial.
	stateDisconnected watcherState = iota
	// stateDialing: the latest dial is in progress.
	stateDialing
	// stateConnected: conn is established. idleTimer is running.
	stateConnected
	// stateStopped is final.
	stateStopped
)

// Watcher maintains one connection to the event bus and notifies its sink of each event. Its methods
// must be called on the loop's goroutine, which owns all of its state.
//
//	disconnected -> dialing       Start, MoveTo, retryTimer
//	dialing      -> connected     the dial succeeds
//	dialing      -> disconnected  the dial fails
//	dialing      -> dialing       MoveTo; the earlier dial becomes stale
//	connected    -> disconnected  end of the connection, idle timeout, protocol error
//	connected    -> dialing       MoveTo another address
//	any state    -> stopped       Stop
type Watcher struct {
	loop     *eventloop.Loop
	sink     discovery.Sink
	records  recordDecoder
	counters *metrics.Counters
	log      *slog.Logger

	addr        string
	lastEvent   uint64 // number of the last processed event
	backoff     discovery.Backoff
	idleTimeout time.Duration

	state      watcherState
	attempt    int    // number of dials; a dial of an earlier attempt is stale
	cancelDial func() // cancels the latest dial if it is in progress; nil before the first dial
	conn       *eventloop.Conn
	retryTimer *timerqueue.Timer // starts the next dial
	idleTimer  *timerqueue.Timer // closes a connection that receives nothing
	// changes are the engines of the changes that were received together and that the sink has not been notified of;
	// nil: there are none. Each notification takes the sink a time that grows with the fleet, however few engines have
	// changed.
	changes []lifecycle.Endpoint
	// partialSince is the time of the loop's clock at which the first bytes of an incomplete frame were
	// received; 0: no frame is incomplete.
	partialSince time.Duration
}

// New returns a watcher that notifies the sink. Start starts the watcher.
func New(
	loop *eventloop.Loop, sink discovery.Sink, opts Options, counters *metrics.Counters, log *slog.Logger,
) *Watcher {
	if opts.MaxBackoff <= 0 {
		opts.MaxBackoff = defaultMaxBackoff
	}
	return &Watcher{
		loop:        loop,
		sink:        sink,
		records:     recordDecoder{zones: opts.Zones, kinds: opts.Kinds},
		counters:    counters,
		log:         log,
		addr:        opts.Address,
		lastEvent:   opts.LastEvent,
		backoff:     discovery.Backoff{Initial: initialBackoff, Max: opts.MaxBackoff},
		idleTimeout: defaultIdleTimeout,
	}
}

// Start connects to the bus. After that, the watcher reconnects whenever the connection ends or is idle
// for too long.
func (w *Watcher) Start() { w.connect() }

// MoveTo connects to the bus at another address and requests the events after the last processed
// event. It does nothing if the watcher is stopped or already connected to this address.
func (w *Watcher) MoveTo(addr string) {
	if w.state == stateStopped || addr == w.addr && w.state == stateConnected {
		return
	}
	logevent.EventBusMoved.Log(w.log,
		slog.String("from", w.addr), slog.String("to", addr), slog.Uint64("last_event", w.lastEvent))
	w.disconnect()
	w.addr = addr
	w.backoff.Reset()
	w.connect()
}

// Stop closes the connection. The watcher can't be started again.
func (w *Watcher) Stop() {
	w.disconnect()
	w.state = stateStopped
}

// disconnect closes the connection, cancels the dial and stops the timers.
func (w *Watcher) disconnect() {
	w.idleTimer.Stop()
	w.retryTimer.Stop()
	if w.cancelDial != nil {
		w.cancelDial()
	}
	w.closeConn()
	w.state = stateDisconnected
}

// closeConn closes the connection, if there is one. It sets conn to nil first, so that OnClosed
// ignores the end of the connection.
func (w *Watcher) closeConn() {
	if conn := w.conn; conn != nil {
		w.conn = nil
		conn.Close()
	}
}

func (w *Watcher) connect() {
	if w.state == stateStopped {
		return
	}
	w.state = stateDialing
	w.attempt++
	attempt := w.attempt
	w.cancelDial = w.loop.Dial(w.addr, dialTimeout, maxFrameSize, w, func(conn *eventloop.Conn, err error) {
		w.onDialed(attempt, conn, err)
	})
}

// onDialed handles the result of a dial.
func (w *Watcher) onDialed(attempt int, conn *eventloop.Conn, err error) {
	if w.state != stateDialing || attempt != w.attempt { // the dial is stale or the watcher was stopped
		if err == nil {
			conn.Close()
		}
		return
	}
	if err != nil {
		w.retry(fmt.Errorf("connect: %w", err))
		return
	}
	w.state = stateConnected
	w.conn = conn
	w.partialSince = 0
	conn.Write(binary.BigEndian.AppendUint64(nil, w.lastEvent))
	w.restartIdleTimer()
}

// restartIdleTimer limits the time until the next bytes arrive. Without it, a connection would stay
// open forever if the bus vanished without closing it.
func (w *Watcher) restartIdleTimer() {
	w.idleTimer.Stop()
	w.idleTimer = w.loop.Timers.Schedule(w.loop.Now()+w.idleTimeout, w.onIdleTimeout)
}

// onIdleTimeout closes a connection that has received nothing for too long, unless bytes have arrived that wait to be
// handled.
func (w *Watcher) onIdleTimeout() {
	switch {
	case w.state != stateConnected:
	case w.conn.ReadNow():
		w.restartIdleTimer()
	default:
		w.fail(errIdleTimeout)
	}
}

// fail closes the connection because of an error and schedules the next dial.
func (w *Watcher) fail(err error) {
	w.closeConn()
	w.retry(err)
}

// retry schedules the next dial after a failed dial or the end of a connection.
func (w *Watcher) retry(err error) {
	w.state = stateDisconnected
	w.idleTimer.Stop()
	delay := w.backoff.Next()
	w.counters.Increment(metrics.EventBusReconnects)
	logevent.EventBusDisconnected.Log(w.log,
		slog.String("bus", w.addr), slog.Any("error", err), slog.Duration("retry_in", delay))
	w.retryTimer = w.loop.Timers.Schedule(w.loop.Now()+delay, w.connect)
}

// OnClosed schedules the next dial after the end of the connection.
func (w *Watcher) OnClosed(conn *eventloop.Conn, err error) {
	if conn != w.conn {
		return
	}
	w.conn = nil
	if err == nil {
		err = errConnectionClosed
	}
	w.retry(err)
}
