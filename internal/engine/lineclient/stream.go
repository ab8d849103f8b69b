package lineclient

import (
	"flaxrelay/internal/engine"
	"flaxrelay/internal/lifecycle"
)

// streamState is the progress of an attempt on its connection.
//
//	event                                            from             to
//	the attempt is put on the connection                              streamWaiting
//	the socket accepts the request                   streamWaiting    streamWritten
//	the first of several pages arrives               streamWritten    streamFetching
//
// A stream is removed from its connection, in any state, when it is abandoned, when its attempt
// ends, or when the connection is closed.
type streamState uint8

const (
	streamWaiting  streamState = iota // no part of the request is written
	streamWritten                     // the request is written; no result has arrived
	streamFetching                    // the first page has arrived; others are missing
)

// stream is one attempt on a connection, with the part of its result that has arrived. It is
// the engine.AttemptHandle of the attempt, and may be used only on the event loop's goroutine.
type stream struct {
	attempt *lifecycle.Attempt
	conn    *connection
	state   streamState
	result  partialResult
	report  lifecycle.AttemptReport
}

var _ engine.AttemptHandle = (*stream)(nil)

// Written reports whether the request is written.
func (s *stream) Written() bool { return s.state != streamWaiting }

// Abandon removes the stream from its connection. The attempt must not have ended. A written
// request is cancelled if the settings permit that. A result whose pages are being fetched is
// always released instead, because its request has already run. If a part of the request is still
// unsent, the connection is closed, which gives up all requests on it.
func (s *stream) Abandon() {
	c := s.conn
	id := s.attempt.Request.ID
	delete(c.streams, id)
	// HandleClosed ends the streams one by one, so the connection may be closed already.
	if s.Written() && c.Connected() {
		switch {
		case c.lastWritten == s && c.PendingWrite() > 0:
			// The engine would run the request whenever the rest of it arrives.
			c.Abort(lifecycle.StatusConnectionReset)
			return
		case s.state == streamFetching:
			c.Write(releaseCommand(id))
		case c.client.sendCancel:
			c.Write(cancelCommand(id))
		}
	}
	c.CloseIfRetiringAndIdle()
}

// writeRequest writes the attempt's request. It ends the attempt if the dispatcher does not
// permit the request, or if the connection does not accept it.
func (s *stream) writeRequest() {
	dispatcher := s.conn.client.Dispatcher
	if !dispatcher.PermitSend(s.attempt) {
		s.finish(lifecycle.StatusNotSent)
		return
	}
	s.conn.useID(s.attempt.Request.ID) // before the write, which may fail after a part of the request has been sent
	if !s.conn.Write(executeCommand(s.attempt, dispatcher.Now())) {
		s.conn.StopAccepting()
		s.finish(lifecycle.StatusNotSent)
		return
	}
	s.state = streamWritten
	s.conn.lastWritten = s
}

// finish removes the stream from its connection and ends its attempt.
func (s *stream) finish(status lifecycle.AttemptStatus) {
	c := s.conn
	delete(c.streams, s.attempt.Request.ID)
	c.MarkUsed()
	if status == lifecycle.StatusServed {
		s.report.Result = s.result.pages
	}
	c.client.Dispatcher.EndAttempt(s.attempt, status, s.report)
	c.CloseIfRetiringAndIdle()
}
