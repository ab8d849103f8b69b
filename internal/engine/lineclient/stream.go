package lineclient

import (
	"flaxrelay/internal/lifecycle"
)

// stream is one attempt on a connection, with the part of its result that has arrived.
type stream struct {
	attempt      *lifecycle.Attempt
	conn         *connection
	written      bool
	pages        Rows // nil until the first page has arrived
	missingPages int
	resultBytes  int // of the pages that have arrived
	report       lifecycle.AttemptReport
}

// fetchingPages reports whether the result is complete at the engine and some of its
// pages have not arrived yet.
func (s *stream) fetchingPages() bool { return s.missingPages > 0 }

// writeRequest writes the attempt's request, or ends the attempt if that can't be done.
func (s *stream) writeRequest() {
	dispatcher := s.conn.client.shared.Dispatcher
	if !dispatcher.PermitSend(s.attempt) {
		s.conn.finish(s, lifecycle.StatusNotSent)
		return
	}
	now := dispatcher.Now()
	s.written = s.conn.Write(executeCommand(s.attempt, now))
	if !s.written {
		s.conn.StopAccepting()
		s.conn.finish(s, lifecycle.StatusNotSent)
	}
}
