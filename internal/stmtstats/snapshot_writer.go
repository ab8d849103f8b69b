package stmtstats

import (
	"log/slog"
	"time"

	"flaxrelay/internal/eventloop"
	"flaxrelay/internal/logevent"
	"flaxrelay/internal/metrics"
)

// snapshotWriter writes snapshots of a store to a file, at intervals and on request, and reports the result
// of each write. Its methods must be called from the goroutine of the event loop. Each write runs in a
// separate goroutine, because a disk may hang.
type snapshotWriter struct {
	store    *Store
	path     string
	interval time.Duration // between scheduled snapshots

	loop     *eventloop.Loop
	counters *metrics.Counters
	log      *slog.Logger

	writing bool // a write is in progress, or the event loop has not handled its result yet
}

// schedule schedules the next snapshot and all later ones.
func (w *snapshotWriter) schedule() {
	w.loop.Timers.Schedule(w.loop.Now()+w.interval, func() {
		w.save()
		w.schedule()
	})
}

// save starts writing a snapshot. It does nothing while another snapshot is being written, so that a disk
// that hangs blocks at most one goroutine.
func (w *snapshotWriter) save() {
	if w.writing {
		return
	}
	w.writing = true
	snapshot := w.store.Snapshot()
	go func() {
		err := snapshot.Write(w.path)
		w.loop.Post(func() { w.handleWriteResult(err) })
	}()
}

// handleWriteResult counts the result of a write and logs a failure.
func (w *snapshotWriter) handleWriteResult(err error) {
	w.writing = false
	if err != nil {
		w.counters.Increment(metrics.ShapesSnapshotFailed)
		logevent.ShapesSnapshotFailed.Log(w.log, slog.String("file", w.path), slog.Any("error", err))
		return
	}
	w.counters.Increment(metrics.ShapesSnapshots)
}
