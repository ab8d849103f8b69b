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
	// reloadRetryTime is how long after SIGHUP a reload is retried if its file cannot be read. The
	// retries must end within 4 s of a move of the event bus. After that time, the platform counts every
	// event as received, whether or not the front end has connected to the new address.
	reloadRetryTime = 3 * time.Second
	// reloadRetryDelay is the time before each retry.
	reloadRetryDelay = 50 * time.Millisecond
)

// reloadFile applies the parts of the configuration file that may change while the server runs. An
// invalid file changes nothing. If the file cannot be read, the reload is retried for reloadRetryTime:
// the cause may be temporary, such as a lack of free descriptors or a file that is being replaced, and
// the operator does not send a second signal. reloadFile must be called on the event loop's goroutine.
func (s *server) reloadFile() {
	s.reloadRetry.Stop() // this reload replaces the earlier one
	if s.reload == nil {
		logevent.ReloadSkipped.Log(s.logger, slog.String("reason", "no part of this configuration can be reloaded"))
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
	s.scheduleReloadRetry(err, s.loop.Now()+reloadRetryTime)
}

// scheduleReloadRetry schedules a retry if the error is that the file could not be read, unless the retry
// would be after giveUpAt.
func (s *server) scheduleReloadRetry(err error, giveUpAt time.Duration) {
	var unreadable *fs.PathError
	next := s.loop.Now() + reloadRetryDelay
	if !errors.As(err, &unreadable) || next > giveUpAt {
		return
	}
	s.reloadRetry = s.loop.Timers.Schedule(next, func() {
		s.counters.Increment(metrics.ReloadRetried)
		if err := s.reload(); err != nil {
			s.scheduleReloadRetry(err, giveUpAt)
			return
		}
		s.reloadCompleted()
	})
}

// reloadCompleted counts and logs a successful reload.
func (s *server) reloadCompleted() {
	s.counters.Increment(metrics.ReloadCompleted)
	logevent.ReloadCompleted.Log(s.logger)
}
