package lineclient

import "flaxrelay/internal/lifecycle"

// streamState is how far an attempt has got on its connection.
//
//	event                                            from             to
//	the attempt is put on the connection                              streamWaiting
//	the connection is open, the request is written   streamWaiting    streamWritten
//	the first of several pages arrives               streamWritten    streamFetching
//
// A stream leaves its connection from every state: it is abandoned, its attempt ends with a
// response (from streamWritten or streamFetching), or the connection ends.
type streamState uint8

const (
	streamWaiting  streamState = iota // nothing of the request is written
	streamWritten                     // the request is written; no result has arrived
	streamFetching                    // the result is complete at the engine; some of its pages are missing here
)

// stream is one attempt on a connection, with the part of its result that has arrived. It
// belongs to the event loop's goroutine.
type stream struct {
	attempt *lifecycle.Attempt
	conn    *connection
	state   streamState
	result  partialResult
	report  lifecycle.AttemptReport
}

// Written reports whether the request is written.
func (s *stream) Written() bool { return s.state != streamWaiting }

// Abandon removes the stream from its connection before its end. The engine gets a cancel if
// the settings permit it. A result whose pages are being fetched needs no more work and is
// always released.
func (s *stream) Abandon() {
	c := s.conn
	id := s.attempt.Request.ID
	delete(c.streams, id)
	if s.Written() && c.Connected() { // a connection that has ended ends its streams one by one
		c.markAbandoned(id)
		switch {
		case s.state == streamFetching:
			c.Write(releaseCommand(id))
		case c.client.sendCancel:
			c.Write(cancelCommand(id))
		}
	}
	c.CloseIfDrained()
}

// writeRequest writes the attempt's request, or ends the attempt if that can't be done.
func (s *stream) writeRequest() {
	dispatcher := s.conn.client.Dispatcher
	if !dispatcher.PermitSend(s.attempt) {
		s.finish(lifecycle.StatusNotSent)
		return
	}
	if !s.conn.Write(executeCommand(s.attempt, dispatcher.Now())) {
		s.conn.StopAccepting()
		s.finish(lifecycle.StatusNotSent)
		return
	}
	s.state = streamWritten
}

// finish removes the stream from its connection and ends its attempt.
func (s *stream) finish(status lifecycle.AttemptStatus) {
	c := s.conn
	delete(c.streams, s.attempt.Request.ID)
	c.MarkUsed()
	switch {
	case status == lifecycle.StatusServed:
		s.report.Result = s.result.pages
	case s.Written():
		// Prevents that a duplicate of this response, or a page, is taken for the next attempt's.
		c.markAbandoned(s.attempt.Request.ID)
	}
	c.client.Dispatcher.EndAttempt(s.attempt, status, s.report)
	c.CloseIfDrained()
}
