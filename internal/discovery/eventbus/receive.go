package eventbus

import (
	"errors"
	"fmt"

	"flaxrelay/internal/eventloop"
	"flaxrelay/internal/lifecycle"
	"flaxrelay/internal/metrics"
	"flaxrelay/policy"
)

// OnData handles all complete frames of the input. It stops when the connection is closed, because of a
// protocol error or because the sink calls MoveTo or Stop.
func (w *Watcher) OnData(conn *eventloop.Conn, input *eventloop.Buffer) {
	err := w.handleFrames(conn, input)
	w.notifyOfChanges()
	switch {
	case conn != w.conn: // closed by the sink
	case err != nil:
		w.fail(err)
	case input.Len() > 0:
		w.onPartialFrame()
	}
}

// handleFrames handles all complete frames of the input, up to the first one with a protocol error.
func (w *Watcher) handleFrames(conn *eventloop.Conn, input *eventloop.Buffer) error {
	for conn == w.conn {
		received, err := parseFrame(input.Bytes())
		if errors.Is(err, errFrameIncomplete) {
			return nil
		}
		w.partialSince = 0
		if err != nil {
			return err
		}
		err = w.handleFrame(received)
		input.Consume(received.size())
		if err != nil {
			return err
		}
	}
	return nil
}

// onPartialFrame restarts the idle timer when a part of a frame arrives, because the bus is alive. It
// does so only for maxFrameTimeouts idle timeouts after the first part. Otherwise, a frame that never
// completes would keep the connection open.
func (w *Watcher) onPartialFrame() {
	now := w.loop.Now()
	if w.partialSince == 0 {
		w.partialSince = now
	}
	if now-w.partialSince < maxFrameTimeouts*w.idleTimeout {
		w.restartIdleTimer()
	}
}

// handleFrame notifies the sink of the event in a frame, or adds it to the changes of which notifyOfChanges notifies
// the sink. It ignores an event that was processed before, because the bus may repeat events after a reconnection.
func (w *Watcher) handleFrame(received frame) error {
	w.backoff.Reset()
	w.restartIdleTimer()
	switch received.kind {
	case frameHeartbeat:
		return nil
	case frameFull, frameDelta:
	default:
		return fmt.Errorf("%w %d", errUnknownFrameKind, received.kind)
	}
	if received.event <= w.lastEvent {
		return nil
	}
	engines, err := w.records.decode(received.payload)
	if err != nil {
		return &eventError{Event: received.event, Err: err}
	}
	w.lastEvent = received.event
	w.counters.Increment(metrics.EventBusEvents)
	if received.kind == frameDelta {
		w.addChanges(engines)
		return nil
	}
	w.notifyOfChanges()
	w.sink.UpdateEndpoints(policy.UpdateFull, engines)
	return nil
}

// addChanges adds the engines of a change, possibly none.
func (w *Watcher) addChanges(engines []lifecycle.Endpoint) {
	if w.changes == nil {
		w.changes = engines
		return
	}
	w.changes = append(w.changes, engines...)
}

// notifyOfChanges notifies the sink of the changes that have been received, in their order.
func (w *Watcher) notifyOfChanges() {
	if changes := w.changes; changes != nil {
		w.changes = nil
		w.sink.UpdateEndpoints(policy.UpdateDelta, changes)
	}
}
