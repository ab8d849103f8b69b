// Package eventbus follows the platform's event bus, which sends the changes of the
// endpoint list over one TCP connection.
package eventbus

import (
	"encoding/binary"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"flaxrelay/internal/discovery"
	"flaxrelay/internal/eventloop"
	"flaxrelay/internal/logevent"
	"flaxrelay/internal/metrics"
	"flaxrelay/internal/timerqueue"
	"flaxrelay/policy"
)

const (
	dialTimeout    = time.Second
	initialBackoff = 50 * time.Millisecond
	// defaultMaxBackoff is the MaxBackoff of a new watcher.
	defaultMaxBackoff = 250 * time.Millisecond
	// defaultIdleTimeout is the longest time without a byte: the bus sends a heartbeat each
	// second.
	defaultIdleTimeout = 2500 * time.Millisecond
	// maxFrameTimeouts is how many of these times a frame may take that comes in pieces. The
	// list of a large fleet, from a crowded bus, takes some.
	maxFrameTimeouts = 8
)

var (
	errIdleTimeout      = errors.New("no frame for too long")
	errConnectionClosed = errors.New("connection closed")
)

// watcherState is the state of a watcher's connection to the bus.
type watcherState int

const (
	// stateDisconnected: there is no connection; a timer starts the next attempt.
	stateDisconnected watcherState = iota
	// stateDialing: the latest dial is under way.
	stateDialing
	// stateConnected: conn is up; the idle timer runs.
	stateConnected
	// stateStopped is final.
	stateStopped
)

// Watcher keeps one connection to the event bus and notifies its sink of each event. All
// of its state belongs to the loop's goroutine.
type Watcher struct {
	// MaxBackoff is the longest delay between two attempts to connect. The bus counts its
	// events as received once it is back, so that the delay has to be well under the grace
	// period of a draining engine. It must be set before Start.
	MaxBackoff time.Duration

	loop     *eventloop.Loop
	sink     discovery.Sink
	records  recordDecoder
	counters *metrics.Counters
	log      *slog.Logger

	addr        string
	lastEvent   uint64 // number of the last event processed
	backoff     discovery.Backoff
	idleTimeout time.Duration

	state      watcherState
	attempt    int    // dials begun; a dial of an earlier attempt is stale
	cancelDial func() // cancels the latest dial; may be called when it is over
	conn       *eventloop.Conn
	retryTimer *timerqueue.Timer // starts the next attempt
	idleTimer  *timerqueue.Timer // ends a connection that brings nothing
	// partialSince is when the first part of an incomplete frame came; 0: none has.
	partialSince time.Duration
}

// New returns a watcher that requests the events after the one numbered lastEvent. Zones
// and kinds are the lists of the settings that records refer to by index.
func New(
	loop *eventloop.Loop, addr string, lastEvent uint64, zones, kinds []string,
	sink discovery.Sink, counters *metrics.Counters, log *slog.Logger,
) *Watcher {
	return &Watcher{
		MaxBackoff:  defaultMaxBackoff,
		loop:        loop,
		sink:        sink,
		records:     recordDecoder{zones: zones, kinds: kinds},
		counters:    counters,
		log:         log,
		addr:        addr,
		lastEvent:   lastEvent,
		backoff:     discovery.Backoff{Initial: initialBackoff},
		idleTimeout: defaultIdleTimeout,
	}
}

// Start connects, and from then on reconnects whenever the connection ends or is idle.
func (w *Watcher) Start() {
	w.backoff.Max = w.MaxBackoff
	w.connect()
}

// MoveTo switches to the bus at another address and requests the events after the last
// one processed. Where the address is the same, it reconnects only if there is no
// connection.
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

// Stop ends the connection and all further attempts.
func (w *Watcher) Stop() {
	w.disconnect()
	w.state = stateStopped
}

// disconnect gives up the connection, the dial and the next attempt, whichever there is.
func (w *Watcher) disconnect() {
	w.idleTimer.Stop()
	w.retryTimer.Stop()
	if w.cancelDial != nil {
		w.cancelDial()
	}
	w.closeConn()
	w.state = stateDisconnected
}

// closeConn closes the connection, if there is one. As conn is nil then, OnClosed ignores
// its end.
func (w *Watcher) closeConn() {
	if c := w.conn; c != nil {
		w.conn = nil
		c.Close()
	}
}

func (w *Watcher) connect() {
	if w.state == stateStopped {
		return
	}
	w.state = stateDialing
	w.attempt++
	attempt := w.attempt
	w.cancelDial = w.loop.Dial(w.addr, dialTimeout, maxMessageSize, w, func(c *eventloop.Conn, err error) {
		w.dialed(attempt, c, err)
	})
}

// dialed handles the result of a dial.
func (w *Watcher) dialed(attempt int, c *eventloop.Conn, err error) {
	if w.state != stateDialing || attempt != w.attempt { // the dial is stale, or the watcher has stopped
		if err == nil {
			c.Close()
		}
		return
	}
	if err != nil {
		w.retry(fmt.Errorf("connect: %w", err))
		return
	}
	w.state = stateConnected
	w.conn, w.partialSince = c, 0
	c.Write(binary.BigEndian.AppendUint64(nil, w.lastEvent))
	w.restartIdleTimer()
}

// restartIdleTimer bounds the wait for the next bytes. It protects against a bus that
// vanishes without closing the connection, which would stay open forever.
func (w *Watcher) restartIdleTimer() {
	w.idleTimer.Stop()
	w.idleTimer = w.loop.Timers.Schedule(w.loop.Now()+w.idleTimeout, func() {
		if w.state == stateConnected {
			w.fail(errIdleTimeout)
		}
	})
}

// fail closes the connection because of err, and schedules the next attempt.
func (w *Watcher) fail(err error) {
	w.closeConn()
	w.retry(err)
}

// retry schedules the next attempt to connect, after the end of a dial or a connection.
func (w *Watcher) retry(err error) {
	w.state = stateDisconnected
	w.idleTimer.Stop()
	delay := w.backoff.Next()
	w.counters.Increment(metrics.EventBusReconnects)
	logevent.EventBusDisconnected.Log(w.log,
		slog.String("bus", w.addr), slog.Any("error", err), slog.Duration("retry_in", delay))
	w.retryTimer = w.loop.Timers.Schedule(w.loop.Now()+delay, w.connect)
}

// OnData processes the complete frames. The sink may move or stop the watcher meanwhile,
// which ends the connection.
func (w *Watcher) OnData(c *eventloop.Conn, in *eventloop.Buffer) {
	for c == w.conn {
		f, err := parseFrame(in.Bytes())
		if errors.Is(err, errFrameIncomplete) {
			w.awaitRest(in.Len() > 0)
			return
		}
		w.partialSince = 0
		if err == nil {
			err = w.take(f)
			in.Consume(f.size())
		}
		if err != nil {
			w.fail(err)
			return
		}
	}
}

// awaitRest waits for the rest of a frame of which a part has come: its bytes are a sign of
// life as good as a frame, for so long as one may take.
func (w *Watcher) awaitRest(partial bool) {
	if !partial {
		return
	}
	now := w.loop.Now()
	if w.partialSince == 0 {
		w.partialSince = now
	}
	if now-w.partialSince < maxFrameTimeouts*w.idleTimeout {
		w.restartIdleTimer()
	}
}

// OnClosed schedules the next attempt to connect.
func (w *Watcher) OnClosed(c *eventloop.Conn, err error) {
	if c != w.conn {
		return
	}
	w.conn = nil
	if err == nil {
		err = errConnectionClosed
	}
	w.retry(err)
}

// take notifies the sink of a frame's event, unless it was processed before: the bus
// may repeat events after a reconnection.
func (w *Watcher) take(f frame) error {
	w.backoff.Reset()
	w.restartIdleTimer()
	var mode policy.UpdateMode
	switch f.kind {
	case frameHeartbeat:
		return nil
	case frameFull:
		mode = policy.UpdateFull
	case frameDelta:
		mode = policy.UpdateDelta
	default:
		return fmt.Errorf("%w %d", errUnknownFrameKind, f.kind)
	}
	if f.event <= w.lastEvent {
		return nil
	}
	engines, err := w.records.decode(f.payload)
	if err != nil {
		return &eventError{Event: f.event, Err: err}
	}
	w.lastEvent = f.event
	w.counters.Increment(metrics.EventBusEvents)
	w.sink.UpdateEndpoints(mode, engines)
	return nil
}
