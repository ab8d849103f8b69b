package main

import (
	"errors"
	"io/fs"
	"log/slog"
	"time"

	"flaxrelay/internal/logevent"
	"flaxrelay/internal/metrics"
)

const (
	// reloadRetryTime is how long a reload whose file can't be read is tried again: what the
	// new event bus has to tell counts as told 4 s after SIGHUP.
	reloadRetryTime = 3 * time.Second
	// reloadRetryDelay is the pause between two of these attempts.
	reloadRetryDelay = 50 * time.Millisecond
)

// reloadFile applies what may change while the server runs from its file. A file that
// can't be used changes nothing. One that can't be read is read again for a while, as
// another signal need not come: a descriptor may have been missing, or the file is being
// replaced. It must be called on the event loop's goroutine.
func (s *server) reloadFile() {
	s.reloadRetry.Stop() // the file is read anew now
	if s.reload == nil {
		logevent.ReloadSkipped.Log(s.logger, slog.String("reason", "the configuration names nothing that may change"))
		return
	}
	err := s.reload()
	if err == nil {
		s.reloadCompleted()
		return
	}
	s.counters.Increment(metrics.ReloadFailed)
	logevent.ReloadFailed.Log(s.logger, slog.Any("error", err), slog.String("effect", "the old file holds"))
	s.scheduleReload(err, s.loop.Now()+reloadRetryTime)
}

// scheduleReload has the file read again that could not be read, until the given time.
func (s *server) scheduleReload(err error, giveUpAt time.Duration) {
	var unreadable *fs.PathError
	next := s.loop.Now() + reloadRetryDelay
	if !errors.As(err, &unreadable) || next > giveUpAt {
		return
	}
	s.reloadRetry = s.loop.Timers.Schedule(next, func() {
		s.counters.Increment(metrics.ReloadRetried)
		if err := s.reload(); err != nil {
			s.scheduleReload(err, giveUpAt)
			return
		}
		s.reloadCompleted()
	})
}

func (s *server) reloadCompleted() {
	s.counters.Increment(metrics.ReloadCompleted)
	logevent.ReloadCompleted.Log(s.logger)
}
