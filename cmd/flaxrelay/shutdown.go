package main

import (
	"time"

	"flaxrelay/internal/logevent"
)

// The schedule of a graceful shutdown, counted from SIGTERM.
const (
	// Clients go on connecting for up to 0.4 s and sending requests for 0.2 s more.
	acceptPeriod = 500 * time.Millisecond
	readPeriod   = 800 * time.Millisecond

	// The platform kills the process no sooner than the longest deadline, as far as
	// maxKillDeadline, and killGrace after SIGTERM. Requests still in flight
	// finalAnswerLead before that are completed by the front end itself.
	maxKillDeadline = 3 * time.Second
	killGrace       = 700 * time.Millisecond
	finalAnswerLead = 250 * time.Millisecond

	// flushPeriod lets the last writes leave the process before the loop stops.
	flushPeriod = 50 * time.Millisecond

	// idlePollInterval is how often the shutdown looks whether all work has ended.
	idlePollInterval = 20 * time.Millisecond
)

// shutdown is a graceful shutdown in progress. Its times are those of the event loop,
// whose goroutine owns it.
type shutdown struct {
	server     *server
	drainAt    time.Duration // the front end reads no further requests from here on
	completeAt time.Duration // requests in flight get their final answer here
}

// startShutdown keeps the server serving for as long as clients may come, then ends it
// once nothing is in flight. It must be called on the event loop's goroutine.
func (s *server) startShutdown() {
	startedAt := s.loop.Now()
	untilKill := min(s.dispatcher.LongestDeadline(), maxKillDeadline) + killGrace
	logevent.ShutdownStarted.Log(s.logger)
	if s.shapes != nil {
		// The snapshot is written now because the end waits for nothing: what is learned
		// from here on is lost.
		s.shapes.SaveSnapshot()
	}
	progress := &shutdown{
		server:     s,
		drainAt:    startedAt + readPeriod,
		completeAt: startedAt + untilKill - finalAnswerLead,
	}
	s.loop.Timers.Schedule(startedAt+acceptPeriod, s.frontEnd.CloseListener)
	s.loop.Timers.Schedule(progress.drainAt, s.frontEnd.Drain)
	s.loop.Timers.Schedule(progress.completeAt, func() {
		s.dispatcher.CompleteAll()
		s.frontEnd.Finish()
	})
	progress.poll()
}

// poll stops the loop once the shutdown is finished, and else looks again later.
func (d *shutdown) poll() {
	loop := d.server.loop
	now := loop.Now()
	if d.finished(now) {
		loop.Timers.Schedule(now+flushPeriod, loop.Stop)
		return
	}
	loop.Timers.Schedule(now+idlePollInterval, d.poll)
}

// finished reports whether nothing is in flight any more, or the kill is too near to
// wait for what still is.
func (d *shutdown) finished(now time.Duration) bool {
	if now >= d.completeAt+flushPeriod {
		return true
	}
	return now >= d.drainAt && d.server.frontEnd.Idle() && d.server.dispatcher.Pending() == 0
}
