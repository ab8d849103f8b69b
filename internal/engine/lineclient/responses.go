package lineclient

import (
	"fmt"
	"strconv"

	"flaxrelay/internal/config"
	"flaxrelay/internal/lifecycle"
	"flaxrelay/internal/metrics"
)

// responseKind is the kind of a response: the second word of its first line.
type responseKind string

const (
	kindProgress       responseKind = "TELL"  // the request is running or waits at the engine
	kindResult         responseKind = "DONE"  // the first page of a result
	kindPage           responseKind = "MORE"  // a page after the first
	kindOverloaded     responseKind = "WAIT"  // the engine shed the request
	kindError          responseKind = "BROKE" // the request failed
	kindDeadlinePassed responseKind = "PAST"  // the request's deadline passed before it ran
	kindFit            responseKind = "FIT"   // ignored by this client
)

// handle handles one response to the stream's request. An error is a protocol error, which
// closes the connection.
func (s *stream) handle(received response) error {
	switch received.kind {
	case kindProgress:
		if kind, value, ok := received.fields.progress(); ok {
			s.conn.client.Dispatcher.ReportProgress(s.attempt, kind, value)
		}
	case kindResult:
		return s.handleResult(received)
	case kindPage:
		return s.handlePage(received)
	case kindOverloaded:
		s.handleFailure(received, lifecycle.StatusOverloaded)
	case kindError:
		s.handleFailure(received, lifecycle.StatusEngineError)
	case kindDeadlinePassed:
		s.handleFailure(received, lifecycle.StatusDeadlinePassed)
	case kindFit:
	default:
		return fmt.Errorf("%w: unknown kind %.20q", errMalformedResponse, received.kind)
	}
	return nil
}

// handleResult stores the first page and fetches the others. No row is sent to the client before
// all pages have arrived: if the engine is lost earlier, only the attempt fails, and another
// attempt may serve the request.
func (s *stream) handleResult(received response) error {
	if s.state == streamFetching {
		s.conn.client.Counters.Increment(metrics.EngineConnectionsDuplicateResponses)
		return nil
	}
	text, _ := received.fields.value(fieldPageCount)
	pages, err := strconv.Atoi(text)
	if err != nil || pages < 0 || pages > maxPages {
		return fmt.Errorf("%w: %.20q", errPageCount, text)
	}
	if !completeRows(received.body) {
		return errMalformedPage
	}
	work, _ := received.fields.number(fieldWork)
	s.report.Work = config.FromMilliseconds(max(work, 0))
	s.report.MemoryMB, _ = received.fields.number(fieldMemory)
	s.report.Load = received.fields.loadReport()
	s.result = newPartialResult(max(pages, 1))
	s.result.add(0, received.body)
	if s.result.complete() {
		s.finish(lifecycle.StatusServed)
		return nil
	}
	s.state = streamFetching
	s.conn.Write(fetchCommands(received.requestID, pages))
	return nil
}

// handlePage stores a page after the first.
func (s *stream) handlePage(received response) error {
	text, _ := received.fields.value(fieldPageNumber)
	page, err := strconv.Atoi(text)
	switch {
	case err != nil || page < 1 || page >= len(s.result.pages):
		return fmt.Errorf("%w: %.20q", errPageNumber, text)
	case !completeRows(received.body):
		return errMalformedPage
	case s.result.has(page): // a duplicate
		return nil
	case s.result.bytes+len(received.body) > maxResultBytes:
		return errResultTooLarge
	}
	s.result.add(page, received.body)
	if s.result.complete() {
		s.conn.Write(releaseCommand(received.requestID))
		s.finish(lifecycle.StatusServed)
	}
	return nil
}

// handleFailure ends the attempt after a response that reports a failure. In streamFetching the
// status is StatusPagesLost: the engine no longer has the pages.
func (s *stream) handleFailure(received response, status lifecycle.AttemptStatus) {
	if s.state == streamFetching {
		status = lifecycle.StatusPagesLost
	}
	s.report.Load = received.fields.loadReport()
	s.finish(status)
}
