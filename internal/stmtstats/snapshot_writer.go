package stmtstats

import (
	"log/slog"
	"time"

	"flaxrelay/internal/eventloop"
	"flaxrelay/internal/logevent"
	"flaxrelay/internal/metrics"
)

// snapshotWriter writes snapshots of a store to a file and reports the outcome of each write. It owns
// the schedule of the snapshots. Its methods must be called from the goroutine of the event loop. Each
// write runs in a separate goroutine, because a disk may hang.
type snapshotWriter struct {
	store    *Store
	path     string
	interval time.Duration // between scheduled snapshots

	loop     *eventloop.Loop
	counters *metrics.Counters
	log      *slog.Logger

	writing bool // a write is in progress, or the loop has not handled its outcome yet
}

// schedule schedules the next snapshot and all that follow.
func (w *snapshotWriter) schedule() {
	w.loop.Timers.Schedule(w.loop.Now()+w.interval, func() {
		w.save()
		w.schedule()
	})
}

// save begins to write a snapshot. While one is being written it does nothing, so that a disk that
// hangs blocks one goroutine at most.
func (w *snapshotWriter) save() {
	if w.writing {
		return
	}
	w.writing = true
	snapshot := w.store.Snapshot()
	go func() {
		err := snapshot.Write(w.path)
		w.loop.Post(func() { w.handleOutcome(err) })
	}()
}

// handleOutcome counts the result of a write and logs a failure.
func (w *snapshotWriter) handleOutcome(err error) {
	w.writing = false
	if err != nil {
		w.counters.Increment(metrics.ShapesSnapshotFailed)
		logevent.ShapesSnapshotFailed.Log(w.log, slog.String("file", w.path), slog.Any("error", err))
		return
	}
	w.counters.Increment(metrics.ShapesSnapshots)
}
