package main

import (
	"time"

	"flaxrelay/internal/logevent"
)

// The schedule of a graceful shutdown, counted from SIGTERM.
const (
	// Clients connect for up to 0.4 s after SIGTERM, and send requests for 0.2 s more.
	acceptPeriod = 500 * time.Millisecond
	readPeriod   = 800 * time.Millisecond

	// The platform kills the process no sooner than the longest deadline plus killGrace after
	// SIGTERM, where the longest deadline counts as maxKillDeadline at most. Requests that are in
	// flight finalResponseLead before that get their final response then.
	maxKillDeadline   = 3 * time.Second
	killGrace         = 700 * time.Millisecond
	finalResponseLead = 250 * time.Millisecond

	// flushPeriod is the time for the last writes before the loop stops.
	flushPeriod = 50 * time.Millisecond

	// idlePollInterval is how often the shutdown checks whether nothing is in flight.
	idlePollInterval = 20 * time.Millisecond
)

// shutdown is a graceful shutdown in progress. Its times are those of the event loop, whose goroutine
// owns it.
type shutdown struct {
	server     *server
	drainAt    time.Duration // the front end reads no further requests from this time on
	completeAt time.Duration // requests in flight get their final response at this time
}

// startShutdown starts a graceful shutdown. The server continues to serve as long as new clients may
// arrive, and ends when nothing is in flight. startShutdown must be called on the event loop's
// goroutine.
func (s *server) startShutdown() {
	startedAt := s.loop.Now()
	untilKill := min(s.dispatcher.LongestDeadline(), maxKillDeadline) + killGrace
	logevent.ShutdownStarted.Log(s.logger)
	if s.shapes != nil {
		// The snapshot is written now, because the process ends without waiting for a write. What
		// is learned from here on is lost.
		s.shapes.SaveSnapshot()
	}
	progress := &shutdown{
		server:     s,
		drainAt:    startedAt + readPeriod,
		completeAt: startedAt + untilKill - finalResponseLead,
	}
	s.loop.Timers.Schedule(startedAt+acceptPeriod, s.frontEnd.CloseListener)
	s.loop.Timers.Schedule(progress.drainAt, s.frontEnd.Drain)
	s.loop.Timers.Schedule(progress.completeAt, func() {
		s.dispatcher.CompleteAll()
		s.frontEnd.Finish()
	})
	progress.poll()
}

// poll stops the loop if the shutdown is finished. Otherwise it schedules the next check.
func (p *shutdown) poll() {
	loop := p.server.loop
	now := loop.Now()
	if p.finished(now) {
		loop.Timers.Schedule(now+flushPeriod, loop.Stop)
		return
	}
	loop.Timers.Schedule(now+idlePollInterval, p.poll)
}

// finished reports whether nothing is in flight, or all requests were given their final responses.
func (p *shutdown) finished(now time.Duration) bool {
	if now >= p.completeAt+flushPeriod {
		return true
	}
	return now >= p.drainAt && p.server.frontEnd.Idle() && p.server.dispatcher.Pending() == 0
}
