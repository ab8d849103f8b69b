package main

import (
	"time"

	"flaxrelay/internal/logevent"
)

// The schedule of a graceful shutdown, counted from SIGTERM.
const (
	// acceptPeriod is the time until the listener is closed. readPeriod is the time until the server closes
	// its connections; see frontEnd.Drain. Clients connect for up to 0.4 s after SIGTERM, and send requests
	// for 0.2 s more.
	acceptPeriod = 500 * time.Millisecond
	readPeriod   = 800 * time.Millisecond

	// After SIGTERM, the platform waits at least killGrace plus the longest deadline of a request before
	// it kills the process. A deadline above maxKillDeadline counts as maxKillDeadline. Requests
	// that are still pending finalResponseLead before the kill get their final response at that time.
	maxKillDeadline   = 3 * time.Second
	killGrace         = 700 * time.Millisecond
	finalResponseLead = 250 * time.Millisecond

	// flushPeriod is the time for the last writes before the loop stops.
	flushPeriod = 50 * time.Millisecond

	// idlePollInterval is the time between two checks of whether the shutdown is finished.
	idlePollInterval = 20 * time.Millisecond
)

// shutdown is a graceful shutdown in progress. The event loop's goroutine owns it. Its times are readings
// of the loop's clock.
type shutdown struct {
	server     *server
	drainAt    time.Duration // the front end closes its connections from this time on
	completeAt time.Duration // pending requests get their final response at this time
}

// startShutdown starts a graceful shutdown. The server continues to serve while new clients may arrive,
// and stops when no request is pending. startShutdown must be called on the event loop's goroutine.
func (s *server) startShutdown() {
	startedAt := s.loop.Now()
	untilKill := min(s.dispatcher.LongestDeadline(), maxKillDeadline) + killGrace
	logevent.ShutdownStarted.Log(s.logger)
	if s.statistics != nil {
		// The snapshot is written now, because the process does not wait for the write before it exits.
		// Executions that end later are not in the snapshot.
		s.statistics.SaveSnapshot()
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

// finished reports whether the loop may stop. This is so if the front end is draining and idle and no
// request is pending, or if the pending requests got their final responses at least flushPeriod ago.
func (p *shutdown) finished(now time.Duration) bool {
	if now >= p.completeAt+flushPeriod {
		return true
	}
	return now >= p.drainAt && p.server.frontEnd.Idle() && p.server.dispatcher.Pending() == 0
}
