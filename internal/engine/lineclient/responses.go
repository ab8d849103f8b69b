package lineclient

import (
	"fmt"

	"flaxrelay/internal/lifecycle"
)

// The kinds of response, as the second word of the first line names them.
const (
	wordProgress       = "TELL"  // the request is running or waits at the engine
	wordResult         = "DONE"  // the first page of a result
	wordPage           = "MORE"  // a page past the first
	wordOverloaded     = "WAIT"  // the engine shed the request
	wordError          = "BROKE" // the request failed
	wordDeadlinePassed = "PAST"  // the request's deadline passed before it ran
	wordFit            = "FIT"   // ignored by this client
)

// HandleMessage handles the first response of in.
func (c *connection) HandleMessage(in []byte) (length int, err error) {
	r, length, err := parseResponse(in)
	if err != nil || length == 0 {
		return 0, err
	}
	return length, c.handleResponse(r)
}

// handleResponse handles one response. One to a request that was given up is ignored.
func (c *connection) handleResponse(r response) error {
	s := c.streams[r.requestID]
	if s == nil {
		c.client.shared.Counters.IncrementByName("engine-connections.late-responses")
		return nil
	}
	switch r.word {
	case wordProgress:
		if kind, value, ok := r.fields.progress(); ok {
			c.client.shared.Dispatcher.ReportProgress(s.attempt, kind, value)
		}
	case wordResult:
		return c.handleResult(s, r)
	case wordPage:
		return c.handlePage(s, r)
	case wordOverloaded:
		c.handleFailure(s, r, lifecycle.StatusOverloaded)
	case wordError:
		c.handleFailure(s, r, lifecycle.StatusEngineError)
	case wordDeadlinePassed:
		c.handleFailure(s, r, lifecycle.StatusDeadlinePassed)
	case wordFit:
	default:
		return fmt.Errorf("%w: unknown word %.20q", errMalformedResponse, r.word)
	}
	return nil
}

// handleFailure ends an attempt that has no result, or whose pages the engine has lost.
func (c *connection) handleFailure(s *stream, r response, status lifecycle.AttemptStatus) {
	if s.fetchingPages() {
		status = lifecycle.StatusPagesLost
	}
	s.report.Load = r.fields.loadReport()
	c.finish(s, status)
}
