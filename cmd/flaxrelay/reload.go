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
	// reloadRetryTime is how long a reload is retried whose file cannot be read. Events of a new
	// event bus count as received 4 s after SIGHUP.
	reloadRetryTime = 3 * time.Second
	// reloadRetryDelay is the pause between two retries.
	reloadRetryDelay = 50 * time.Millisecond
)

// reloadFile applies the parts of the configuration file that may change while the server runs. An
// invalid file changes nothing. A file that cannot be read is retried for some time, because the
// reason may be temporary and no further signal comes: there was no free descriptor, or the file is
// being replaced. reloadFile must be called on the event loop's goroutine.
func (s *server) reloadFile() {
	s.reloadRetry.Stop() // this reload replaces the earlier one
	if s.reload == nil {
		logevent.ReloadSkipped.Log(s.logger, slog.String("reason", "nothing in this configuration may change"))
		return
	}
	err := s.reload()
	if err == nil {
		s.reloadCompleted()
		return
	}
	s.counters.Increment(metrics.ReloadFailed)
	logevent.ReloadFailed.Log(s.logger, slog.Any("error", err),
		slog.String("effect", "the previous configuration stays in use"))
	s.scheduleReload(err, s.loop.Now()+reloadRetryTime)
}

// scheduleReload schedules a retry if the error says that the file could not be read. It gives up at
// the given time.
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
